//! Refusal of a request.

use prost::Message;

use crate::HomeLoad;

/// States that a home refuses a request.
#[derive(Clone, PartialEq, Message)]
pub struct Refused {
    /// Reason, as a machine-readable code.
    #[prost(string, tag = "1")]
    pub reason: String,
    /// Whether the request certainly did not run and will never run.
    #[prost(bool, tag = "2")]
    pub not_run: bool,
    /// Time after which to retry, in milliseconds, or 0 if a retry is pointless.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
    /// Load of the home, absent unless the entry needs it.
    #[prost(message, optional, tag = "4")]
    pub load: Option<HomeLoad>,
}
