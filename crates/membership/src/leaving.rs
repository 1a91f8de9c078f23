//! A member that is leaving.

use std::time::Duration;

use ids::Incarnation;

use crate::Absent;
use crate::LeaveReason;

/// A member that no longer serves units, and leaves once no request runs.
#[derive(Clone, Debug)]
pub(crate) struct Leaving {
    /// Whether the `Leave` was appended.
    pub(crate) is_leave_appended: bool,
    /// Incarnation of the member.
    pub(crate) incarnation: Incarnation,
    /// Reason for leaving.
    pub(crate) reason: LeaveReason,
    /// Time at which the `Join` was read back.
    pub(crate) joined_at: Duration,
}

impl Leaving {
    /// Returns the state after the membership ended in the log.
    pub(crate) fn left(self, not_before: Duration) -> Absent {
        Absent { not_before }
    }
}
