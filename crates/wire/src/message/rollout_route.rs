//! Evidence of one route, as a home reports it.

use prost::Message;

/// Cumulative counts of the answers of an upstream on one route.
#[derive(Clone, PartialEq, Message)]
pub struct RolloutRoute {
    /// Name of the route.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Number of answers.
    #[prost(uint64, tag = "2")]
    pub answers: u64,
    /// Number of failures among the answers.
    #[prost(uint64, tag = "3")]
    pub failures: u64,
    /// Number of answers in each bucket of the latency histogram. Empty buckets at the end may be left out.
    #[prost(uint64, repeated, tag = "4")]
    pub buckets: Vec<u64>,
}
