//! An upstream's report of its health.

use serde::Deserialize;
use serde::Serialize;

/// An upstream's report of its health, which may be outdated or wrong.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Health {
    /// The upstream's monotonic clock, in milliseconds.
    pub clock_ms: u64,
    /// Whether the upstream is draining, and accepts no new requests.
    pub draining: bool,
    /// Id of the upstream's process instance.
    pub instance: String,
    /// Used share of the upstream's capacity, between 0 and 1.
    pub load: f64,
    /// Number of running requests.
    pub running: u32,
}
