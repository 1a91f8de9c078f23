//! Roll-out of a version of the upstreams of one service.

use std::collections::BTreeSet;

use ids::Offset;
use ids::UpstreamVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::RolloutOrder;
use crate::RolloutState;
use crate::VersionRole;

/// Roll-out of a version of the upstreams of one service: the last one that an order began.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rollout {
    /// The order.
    pub order: RolloutOrder,
    /// Greatest position of an order that a record has named. Only orders at later positions are new.
    ///
    /// It is greater than the position of `order` after an order that was refused while this one was carried out.
    #[serde(default)]
    pub handled_position: Offset,
    /// State of the roll-out.
    pub state: RolloutState,
    /// Reason for the state, for operators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Versions that get no requests and no units: those that the target has replaced, and those that were rolled back.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub replaced_versions: BTreeSet<UpstreamVersion>,
    /// State whose status was written last, `None` before the first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub published: Option<RolloutState>,
}

impl Rollout {
    /// Returns what upstreams of a version of the service get.
    pub fn version_role(&self, version: &str) -> VersionRole {
        let is_target = version == self.order.target_version;
        match self.state {
            RolloutState::Trial if is_target => VersionRole::Trial,
            RolloutState::Promoting if !is_target => VersionRole::Withdrawn,
            _ if self.replaced_versions.contains(version) => VersionRole::Withdrawn,
            _ => VersionRole::Current,
        }
    }
}
