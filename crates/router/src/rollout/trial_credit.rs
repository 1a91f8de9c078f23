//! Credit of this entry for requests to a version on trial.

use ids::Offset;
use policy::RolloutAllotment;

use crate::rollout::ServiceRollout;

/// Credit of this entry for requests to the version on trial of one service.
#[derive(Debug)]
pub(crate) struct TrialCredit {
    allotment: RolloutAllotment,
    /// Order that the credit belongs to.
    position: Offset,
}

impl TrialCredit {
    pub(crate) fn new(rollout: &ServiceRollout) -> Self {
        Self {
            allotment: RolloutAllotment::new(rollout.entry_phase, rollout.extra_requests),
            position: rollout.position(),
        }
    }

    /// Begins again if the roll-out belongs to another order.
    pub(crate) fn update(&mut self, rollout: &ServiceRollout) {
        if self.position != rollout.position() {
            *self = Self::new(rollout);
        }
    }

    /// Records an answer of the service, while the trial gets the fraction `share` of the requests.
    pub(crate) fn record_answer(&mut self, share: f64) {
        self.allotment.record_answer(share);
    }

    /// Takes the credit for one request to the trial. Reports whether there was enough.
    pub(crate) fn try_take(&mut self) -> bool {
        self.allotment.try_take()
    }
}
