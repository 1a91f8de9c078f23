//! Stand-in for the platform's log service.

mod client;
mod faults;
mod options;
mod rate_limiter;
mod records;
mod service;
mod standin;

pub use client::LogClient;
pub use faults::LogFaults;
pub use options::LogOptions;
pub use standin::LogStandin;

use rate_limiter::RateLimiter;
use records::Records;
use service::LogService;
