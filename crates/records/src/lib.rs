//! Client of the platform's append-only log.

mod append_error;
mod batch;
mod calls;
mod http_log;
mod log;
mod memory_log;
mod read_error;
mod stored;

pub use append_error::AppendError;
pub use batch::Batch;
pub use calls::is_before_sending;
pub use calls::one_call_agent;
pub use calls::read_body;
pub use calls::read_json;
pub use http_log::HttpLog;
pub use log::Log;
pub use memory_log::MemoryLog;
pub use read_error::ReadError;
pub use stored::Stored;
