//! The message by which a home grants and revokes units.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cluster::UnitFence;
use ids::Unit;
use serde::Deserialize;
use serde::Serialize;

/// Changes of the grants that one holder has given.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct GrantOrder {
    /// Whether `granted` replaces all grants of the holder.
    #[serde(default)]
    pub(crate) all: bool,
    /// End of all grants of the holder, in milliseconds of the upstream's clock.
    pub(crate) expiry_ms: u64,
    /// Grants to add.
    #[serde(default)]
    pub(crate) granted: Vec<UnitFence>,
    /// Name of the home and its life.
    pub(crate) holder: String,
    /// Life of the upstream that the order is for, any when absent.
    #[serde(default)]
    pub(crate) instance: Option<String>,
    /// Units to remove.
    #[serde(default)]
    pub(crate) revoked: BTreeSet<Unit>,
    /// Number of the message.
    pub(crate) sequence: u64,
}

/// Answer to a grant order.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct GrantResponse {
    /// Time on the upstream's clock, in milliseconds.
    pub(crate) clock_ms: u64,
    /// Life of the upstream.
    pub(crate) instance: String,
    /// Number of running requests on each unit that is not granted.
    pub(crate) running: BTreeMap<Unit, u32>,
}
