//! Phase of a roll-out that has not ended.

use std::time::Duration;

/// Phase of a roll-out that has not ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutPhase {
    /// The target version gets the share of the trial.
    Trial,
    /// The target version takes over.
    Promoting {
        /// Time since `Promoted` was read.
        since_promoted: Duration,
    },
}
