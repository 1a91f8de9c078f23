//! What a process needs of the place that it runs in, where that is not this product's own interface.

mod declared_sink;
mod surroundings;
mod upstream_grants;
mod upstream_report;

pub use declared_sink::DeclaredSink;
pub use surroundings::Environment;
pub use upstream_grants::RangeGrant;
pub use upstream_grants::UpstreamGrants;
pub use upstream_report::UpstreamNews;
pub use upstream_report::UpstreamReport;
