//! Route selected by host and path.

use std::time::Duration;

use ids::ServiceId;
use serde::Deserialize;
use serde::Serialize;

/// Settings for the requests to one host whose paths start with the same prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostRoute {
    /// Maximum number of upstreams that one request may be sent to.
    pub attempts: u32,
    /// Whether a request may run more than once with the same effect as once.
    pub idempotent: bool,
    /// Name of the route, for logs and metrics.
    pub name: String,
    /// Whether the route is open to callers without a tenant key.
    pub open: bool,
    /// Prefix of the paths that the route matches.
    pub prefix: String,
    /// Rank of the requests, 0 for the most urgent.
    pub priority: u32,
    /// Target latency, in milliseconds. Answers that take longer are worth less to callers.
    pub target_latency_ms: u64,
    /// Services that share the requests.
    pub targets: Vec<WeightedTarget>,
    /// Longest time that a caller waits, in milliseconds.
    pub timeout_ms: u64,
    /// Whether requests upload large bodies. An upload runs at most once.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub upload: bool,
}

/// A service with its share of the requests of a route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedTarget {
    /// The service.
    pub service: ServiceId,
    /// Share, relative to the other targets of the route.
    pub weight: u32,
}

impl HostRoute {
    /// Returns the longest time that a caller waits.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Returns the target latency. Answers that take longer are worth less to callers.
    pub fn target_latency(&self) -> Duration {
        Duration::from_millis(self.target_latency_ms)
    }
}
