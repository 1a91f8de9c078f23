//! A member that this witness watches and does not suspect.

use std::time::Duration;

use ids::Incarnation;

use crate::SuspectedMember;
use crate::times::SUSPECT_AFTER;

/// A member that this witness watches and does not suspect.
#[derive(Clone, Debug)]
pub(crate) struct MonitoredMember {
    incarnation: Incarnation,
    last_heartbeat: Duration,
    last_renewal: Duration,
}

impl MonitoredMember {
    /// Starts to watch a member. Earlier incarnations of the witness may have renewed its lease until
    /// now, so `now` counts as the last renewal.
    pub(crate) fn new(now: Duration, incarnation: Incarnation) -> Self {
        Self {
            last_heartbeat: now,
            incarnation,
            last_renewal: now,
        }
    }

    /// Returns the incarnation of the member.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Records a heartbeat.
    pub(crate) fn record_heartbeat(&mut self, now: Duration) {
        self.last_heartbeat = now;
    }

    /// Records a renewal.
    pub(crate) fn record_renewal(&mut self, now: Duration) {
        self.last_renewal = now;
    }

    /// Reports whether the member has sent no heartbeat for `SUSPECT_AFTER`.
    pub(crate) fn is_silent(&self, now: Duration) -> bool {
        now >= self.last_heartbeat + SUSPECT_AFTER
    }

    /// Suspects the member, which this witness then never renews again.
    pub(crate) fn suspect(self) -> SuspectedMember {
        SuspectedMember {
            incarnation: self.incarnation,
            last_renewal: self.last_renewal,
        }
    }
}
