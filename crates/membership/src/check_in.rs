//! A check-in of an upstream that polls its grants.

use std::collections::BTreeMap;

use cluster::UnitFence;
use ids::Unit;
use serde::Deserialize;
use serde::Serialize;

use crate::Announcement;

/// A check-in of the local upstream, whose answer carries its grants.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CheckIn {
    /// The upstream.
    pub announcement: Announcement,
    /// Start of this life of the upstream, in milliseconds since the Unix epoch.
    #[serde(rename = "born_unix_ms")]
    pub started_unix_ms: u64,
    /// Whether the upstream is about to stop.
    pub draining: bool,
    /// What the upstream released since its last answered check-in, with what the next owner's upstream is to get.
    pub handovers: BTreeMap<Unit, String>,
    /// What the upstream holds or still works on.
    pub held: Vec<UnitFence>,
    /// Identity of the check-in within this process.
    pub id: u64,
    /// Number of the check-in, rising within a life of the upstream.
    pub sequence: u64,
}
