//! A check-in of an upstream that polls its grants.

use std::collections::BTreeMap;
use std::time::Duration;

use cluster::UnitFence;
use ids::Unit;
use serde::Deserialize;
use serde::Serialize;

use crate::Announcement;

/// A check-in of the local upstream. The answer carries its grants.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CheckIn {
    /// Announcement of the upstream.
    pub announcement: Announcement,
    /// Whether the upstream is about to stop.
    pub draining: bool,
    /// Units that the upstream released since its last answered check-in, each with the data for the next owner's
    /// upstream.
    pub handovers: BTreeMap<Unit, String>,
    /// Units that the upstream holds or still runs requests on, `None` if it does not state them.
    pub held: Option<Vec<UnitFence>>,
    /// Id of the check-in within this process.
    pub id: u64,
    /// Number of the check-in, increasing until the upstream restarts.
    pub sequence: u64,
    /// Time for which the upstream remains cold.
    #[serde(default)]
    pub warm_up_left: Duration,
}
