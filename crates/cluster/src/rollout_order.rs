//! Order of operators to roll a version out.

use ids::Offset;
use ids::UpstreamVersion;
use serde::Deserialize;
use serde::Serialize;

/// Order of operators to move the traffic of a service to upstreams of one version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutOrder {
    /// Time that operators give the roll-out, in milliseconds.
    pub duration_ms: u64,
    /// Time of the order, in milliseconds since the Unix epoch.
    pub ordered_unix_ms: u64,
    /// Position of the order among the declarations of operators, which identifies it.
    pub position: Offset,
    /// Version to which the traffic moves.
    pub target_version: UpstreamVersion,
}

impl RolloutOrder {
    /// Reports whether two orders ask for the same, whenever they were given.
    pub fn is_repetition_of(&self, other: &Self) -> bool {
        self.target_version == other.target_version && self.duration_ms == other.duration_ms
    }
}
