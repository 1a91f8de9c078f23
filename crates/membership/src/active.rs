//! A process that is a member.

use std::time::Duration;

use ids::Incarnation;

use crate::LeaveReason;
use crate::Leaving;

/// A process whose `Join` took effect and whose membership has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Active {
    /// Incarnation of the member.
    pub(crate) incarnation: Incarnation,
    /// Time at which the `Join` was read back.
    pub(crate) joined_at: Duration,
}

impl Active {
    /// Returns the state in which the member stops serving its units.
    pub(crate) fn leave(self, reason: LeaveReason) -> Leaving {
        Leaving {
            is_leave_appended: false,
            incarnation: self.incarnation,
            reason,
            joined_at: self.joined_at,
        }
    }
}
