//! HTTP server for callers and operators, with limits on all resources that a client can use.

mod answer_body;
mod byte_reservation;
mod connection;
mod connection_context;
mod connection_state;
mod handler;
mod limited_stream;
mod limits;
mod listen;
mod refusal_reason;
mod remote_address;
mod serve;

pub use byte_reservation::ByteReservation;
pub use handler::Handler;
pub use limits::Limits;
pub use listen::listen;
pub use refusal_reason::RefusalReason;
pub use remote_address::RemoteAddress;
pub use serve::serve;
