//! Tests of the log clients.

mod http_log;
mod log_server;
mod lost_reads;
mod memory_log;
mod silent_server;
