//! What became of a request, told from log lines.

mod account;
mod cause;
mod log_line;
mod state;

pub(crate) use account::Account;
