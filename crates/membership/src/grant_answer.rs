//! The answer of the local upstream to a grant.

use std::collections::BTreeMap;

use ids::Unit;
use serde::Deserialize;
use serde::Serialize;

/// The local upstream's answer to a grant.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantAnswer {
    /// The upstream's monotonic clock when it answered, in milliseconds.
    pub clock_ms: u64,
    /// Instance identifier of the upstream.
    pub instance: String,
    /// Number of requests that still run on each revoked unit.
    pub running: BTreeMap<Unit, u64>,
    /// Sequence number of the grant.
    pub sequence: u64,
}
