//! What the platform's log means: records, and the deterministic fold of them.

mod body;
mod document;
mod fleet;
mod join;
mod member;
mod outcome;
mod ownership;
mod rank;
mod record;
mod suspicion;
mod unit_fence;

pub use body::Body;
pub use document::Document;
pub use fleet::Fleet;
pub use join::Join;
pub use member::Member;
pub use outcome::Outcome;
pub use ownership::Ownership;
pub use record::Record;
pub use suspicion::Suspicion;
pub use unit_fence::UnitFence;
