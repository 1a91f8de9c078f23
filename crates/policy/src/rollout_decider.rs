//! Decisions on the steps of a roll-out.

use crate::RolloutDecision;
use crate::RolloutSchedule;
use crate::RolloutView;

/// Decides the next step of one roll-out.
#[derive(Clone, Debug)]
pub struct RolloutDecider {
    schedule: RolloutSchedule,
}

impl RolloutDecider {
    /// Creates the decider of a roll-out.
    pub fn new(schedule: RolloutSchedule) -> Self {
        Self { schedule }
    }

    /// Returns the next step. A rollback is final.
    pub fn decide(&mut self, _view: &RolloutView) -> RolloutDecision {
        let _ = self.schedule;
        RolloutDecision::Continue
    }
}
