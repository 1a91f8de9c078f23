//! A member that its witness answers.

use std::time::Duration;

use ids::Incarnation;

use crate::SuspectedMember;
use crate::times::SUSPECT_AFTER;

/// A member that its witness answers.
#[derive(Clone, Debug)]
pub(crate) struct MonitoredMember {
    last_heartbeat: Duration,
    incarnation: Incarnation,
    last_renewal: Duration,
}

impl MonitoredMember {
    /// Starts a watch. Earlier lives of the witness may have last_renewal until now.
    pub(crate) fn new(now: Duration, incarnation: Incarnation) -> Self {
        Self {
            last_heartbeat: now,
            incarnation,
            last_renewal: now,
        }
    }

    /// Returns the life of the member.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Notes a heartbeat.
    pub(crate) fn record_heartbeat(&mut self, now: Duration) {
        self.last_heartbeat = now;
    }

    /// Notes a renewal.
    pub(crate) fn record_renewal(&mut self, now: Duration) {
        self.last_renewal = now;
    }

    /// Tells whether the member was silent for too long.
    pub(crate) fn is_silent(&self, now: Duration) -> bool {
        now >= self.last_heartbeat + SUSPECT_AFTER
    }

    /// Stops answering the member for good.
    pub(crate) fn suspect(self) -> SuspectedMember {
        SuspectedMember {
            incarnation: self.incarnation,
            last_renewal: self.last_renewal,
        }
    }
}
