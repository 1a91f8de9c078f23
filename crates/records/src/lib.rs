//! Client of the platform's append-only log.

mod append_error;
mod batch;
mod http_log;
mod log;
mod memory_log;
mod read_error;
mod stored;

pub use append_error::AppendError;
pub use batch::Batch;
pub use http_log::HttpLog;
pub use log::Log;
pub use memory_log::MemoryLog;
pub use read_error::ReadError;
pub use stored::Stored;
