//! Message with which a home grants and revokes units.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cluster::UnitFence;
use ids::Unit;
use serde::Deserialize;
use serde::Serialize;

/// Changes to the grants of one holder.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct GrantOrder {
    /// Whether `granted` replaces all grants of the holder.
    #[serde(default)]
    pub(crate) all: bool,
    /// Expiry of all grants of the holder, in milliseconds on the upstream's clock.
    pub(crate) expiry_ms: u64,
    /// Grants to add.
    #[serde(default)]
    pub(crate) granted: Vec<UnitFence>,
    /// Name and incarnation of the home.
    pub(crate) holder: String,
    /// Incarnation of the upstream that the order is for; any incarnation when absent.
    #[serde(default)]
    pub(crate) instance: Option<String>,
    /// Units whose grants are removed.
    #[serde(default)]
    pub(crate) revoked: BTreeSet<Unit>,
    /// Sequence number of the order, which must increase with each order of the holder.
    pub(crate) sequence: u64,
}

/// Response to a grant order.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct GrantResponse {
    /// Current time on the upstream's clock, in milliseconds.
    pub(crate) clock_ms: u64,
    /// Incarnation of the upstream.
    pub(crate) instance: String,
    /// Number of running requests whose unit and fence are not granted, by unit.
    pub(crate) running: BTreeMap<Unit, u32>,
}
