//! HTTP server for callers and operators, with a bound on everything that a client can make it hold.

mod answer_body;
mod connection;
mod exchange;
mod guarded_stream;
mod handler;
mod held;
mod limits;
mod listen;
mod phase;
mod refusal_reason;
mod serve;

pub use handler::Handler;
pub use limits::Limits;
pub use listen::listen;
pub use refusal_reason::RefusalReason;
pub use serve::serve;
