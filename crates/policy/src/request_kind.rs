//! What the choice of an upstream depends on, of a request.

use std::time::Duration;

use crate::CostKey;

/// What the choice of an upstream depends on, of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestKind {
    /// Kind by which the cost is learned.
    pub cost_key: CostKey,
    /// Target latency of the route, zero when it has none.
    pub target_latency: Duration,
}
