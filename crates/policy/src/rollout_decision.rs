//! Next step of a roll-out.

/// Next step that a decider takes in a roll-out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RolloutDecision {
    /// Confirms the present phase.
    Continue,
    /// Appends `Promoted`.
    Promote,
    /// Appends `Completed`.
    Complete,
    /// Appends `RolledBack` and states the rollback in permits.
    RollBack {
        /// Reason, for the status.
        reason: String,
    },
}
