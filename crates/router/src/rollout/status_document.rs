//! The status of a roll-out, as operators read it.

use cluster::Rollout;
use cluster::RolloutState;
use ids::Offset;
use ids::UpstreamVersion;
use serde::Deserialize;
use serde::Serialize;

/// The status of a roll-out, as operators read it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct StatusDocument {
    pub(crate) state: StatusState,
    pub(crate) target_version: UpstreamVersion,
    /// Reason for the state.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) reason: Option<String>,
    /// Position of the order, which tells a newer status from an older one.
    #[serde(default)]
    pub(crate) position: Offset,
}

/// State of a roll-out, as operators read it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum StatusState {
    Running,
    Completed,
    RolledBack,
}

impl StatusDocument {
    pub(crate) fn new(rollout: &Rollout) -> Self {
        Self {
            state: match rollout.state {
                RolloutState::Trial | RolloutState::Promoting => StatusState::Running,
                RolloutState::Completed => StatusState::Completed,
                RolloutState::RolledBack => StatusState::RolledBack,
            },
            target_version: rollout.order.target_version.clone(),
            reason: rollout.reason.clone(),
            position: rollout.order.position,
        }
    }

    /// Reports whether this status may replace a value of the same key. It must not replace that of a later order, nor the
    /// outcome of the same one if it states that the roll-out is still running.
    pub(crate) fn may_replace(&self, current: &[u8]) -> bool {
        let Ok(current) = serde_json::from_slice::<Self>(current) else {
            return true;
        };
        let is_earlier = self.position < current.position;
        let was_ended = self.position == current.position
            && self.state == StatusState::Running
            && current.state != StatusState::Running;
        !is_earlier && !was_ended
    }

    pub(crate) fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("text and numbers can be written as JSON")
    }
}
