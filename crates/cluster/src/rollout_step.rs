//! Step of a roll-out.

use ids::UpstreamVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::RolloutState;

/// Step of a roll-out, as a record states it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum RolloutStep {
    /// Begins a trial. Valid if no order at this position or a later one has been recorded.
    Ordered {
        /// Version to which the traffic moves.
        target_version: UpstreamVersion,
        /// Time that operators give the roll-out, in milliseconds.
        duration_ms: u64,
        /// Time of the order, in milliseconds since the Unix epoch.
        ordered_unix_ms: u64,
    },
    /// Lets the target version take over. Valid during the trial.
    Promoted,
    /// Ends the roll-out with the target version in force. Valid during the promotion.
    Completed,
    /// Ends the roll-out with the other versions in force. Valid during the trial and the promotion.
    RolledBack {
        /// Reason, for operators.
        reason: String,
    },
    /// States that the status of a state has been written for operators. Valid in every state.
    Published {
        /// The state.
        state: RolloutState,
    },
}
