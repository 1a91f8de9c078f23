//! Tests of the log's clients.

mod http_log;
mod log_server;
mod memory_log;
