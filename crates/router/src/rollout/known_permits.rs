//! Verdicts of deciders that this process knows.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::Offset;
use ids::ServiceId;
use wire::RolloutPermit;
use wire::RolloutVerdict;

use crate::rollout::permit_state::PermitState;

/// Verdicts of deciders on the newest roll-out of each service.
#[derive(Debug, Default)]
pub(crate) struct KnownPermits(BTreeMap<ServiceId, PermitState>);

impl KnownPermits {
    /// Records the permit of a decider. A rollback is final for its position.
    pub(crate) fn record(&mut self, now: Duration, permit: &RolloutPermit) {
        match permit.verdict() {
            RolloutVerdict::Continue => self.confirm(now, &permit.service, permit.position),
            RolloutVerdict::RolledBack => {
                self.roll_back(&permit.service, permit.position, &permit.reason);
            }
            RolloutVerdict::Unspecified => {}
        }
    }

    /// Records that a decider confirms a trial.
    pub(crate) fn confirm(&mut self, now: Duration, service: &ServiceId, position: Offset) {
        if let Some(state) = self.state_mut(service, position) {
            state.confirmed_at = Some(now);
        }
    }

    /// Records that a decider has rolled a version back. Reports whether that was not known.
    pub(crate) fn roll_back(
        &mut self,
        service: &ServiceId,
        position: Offset,
        reason: &str,
    ) -> bool {
        let Some(state) = self.state_mut(service, position) else {
            return false;
        };
        let is_new = state.rollback.is_none();
        state.rollback.get_or_insert_with(|| reason.to_owned());
        is_new
    }

    /// Returns the reason of the rollback at a position, if there was one.
    pub(crate) fn rollback(&self, service: &str, position: Offset) -> Option<&str> {
        self.state(service, position)?.rollback.as_deref()
    }

    /// Returns when the trial at a position was last confirmed.
    pub(crate) fn confirmed_at(&self, service: &str, position: Offset) -> Option<Duration> {
        self.state(service, position)?.confirmed_at
    }

    fn state(&self, service: &str, position: Offset) -> Option<&PermitState> {
        let state = self.0.get(service);
        state.filter(|state| state.position == position)
    }

    /// Returns the state of the roll-out at a position, or `None` if a later one is known.
    fn state_mut(&mut self, service: &ServiceId, position: Offset) -> Option<&mut PermitState> {
        let state = self.0.entry(service.clone()).or_insert(PermitState {
            confirmed_at: None,
            position,
            rollback: None,
        });
        if state.position < position {
            *state = PermitState {
                confirmed_at: None,
                position,
                rollback: None,
            };
        }
        (state.position == position).then_some(state)
    }
}
