//! Reason why a unit is moved to another member.

use serde::Deserialize;
use serde::Serialize;

/// Reason why a unit is moved to another member.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveReason {
    /// Load or the number of units is balanced between members.
    Balance,
    /// The unit goes to or from a version on trial, or away from a version that gets nothing any more.
    Rollout,
    /// The owner is stopping.
    Stopping,
    /// The owner's upstream or zone is taken out of service.
    TakenOut,
}
