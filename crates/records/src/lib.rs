//! Client of the platform's append-only log.

mod append_error;
mod append_limits;
mod batch;
mod connection;
mod http_calls;
mod http_log;
mod keep_alive_connector;
mod keep_alive_transport;
mod log;
mod memory_log;
mod read_error;
mod stored_record;
mod waiting_calls;

pub use append_error::AppendError;
pub use append_limits::AppendLimits;
pub use batch::Batch;
pub use http_calls::failed_before_sending;
pub use http_calls::read_body;
pub use http_calls::read_json;
pub use http_calls::unpooled_agent;
pub use http_calls::waiting_agent;
pub use http_log::HttpLog;
pub use log::Log;
pub use memory_log::MemoryLog;
pub use read_error::ReadError;
pub use stored_record::StoredRecord;
pub use waiting_calls::WaitingCalls;
