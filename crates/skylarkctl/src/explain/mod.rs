//! Reconstruction of the path and outcome of a request from log lines.

mod cause;
mod log_line;
mod process_problems;
mod request_trace;

pub(crate) use request_trace::RequestTrace;
