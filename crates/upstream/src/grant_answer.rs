//! The answer to a change of grants.

use std::collections::BTreeMap;

use ids::Unit;
use serde::Deserialize;
use serde::Serialize;

/// The upstream's answer to a change of grants.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantAnswer {
    /// The upstream's monotonic clock, in milliseconds.
    pub clock_ms: u64,
    /// Id of the upstream's process instance.
    pub instance: String,
    /// Number of requests that are still running, by revoked unit.
    #[serde(default)]
    pub running: BTreeMap<Unit, u32>,
}
