//! State of a roll-out.

use serde::Deserialize;
use serde::Serialize;

/// State of a roll-out.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// The target version gets a small share of the traffic of its service.
    Trial,
    /// The target version takes the traffic of the other versions over.
    Promoting,
    /// The target version has replaced the others.
    Completed,
    /// The target version gets nothing.
    RolledBack,
}

impl RolloutState {
    /// Reports whether the roll-out has ended.
    pub fn is_ended(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}
