//! Load of a home.

use prost::Message;

/// Reports the load of a home.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LoadReport {
    /// Number of requests that the upstream is running.
    #[prost(uint32, tag = "1")]
    pub in_flight: u32,
    /// Number of requests in the queue of the home.
    #[prost(uint32, tag = "2")]
    pub queued: u32,
    /// Maximum number of concurrent requests that the home sends to the upstream.
    #[prost(uint32, tag = "3")]
    pub limit: u32,
    /// Median latency of recent requests, in microseconds.
    #[prost(uint64, tag = "4")]
    pub latency_us: u64,
    /// Whether the home accepts no new requests for services without keys.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
}
