//! Counters of the upstream stand-in.

use serde::Deserialize;
use serde::Serialize;

/// Counts of events since the start of an upstream stand-in.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamCounters {
    /// Grant orders applied.
    pub grant_orders: u64,
    /// Requests that arrived while the upstream was at capacity.
    pub overloads: u64,
    /// Connections closed at once because the connection limit was reached.
    pub refused_connections: u64,
    /// Highest number of connections that were open at the same time.
    pub most_connections: u32,
}
