//! State of a process in the life cycle of a member.

use ids::Incarnation;

use crate::Absent;
use crate::Active;
use crate::Joining;
use crate::LeaveReason;
use crate::Leaving;
use crate::Phase;

/// State of a process in the life cycle of a member.
#[derive(Clone, Debug)]
pub(crate) enum MemberState {
    /// Not a member.
    Absent(Absent),
    /// Waiting to read its `Join` back.
    Joining(Joining),
    /// A member.
    Active(Active),
    /// Stops serving its units, and then ends its membership.
    Leaving(Leaving),
}

impl MemberState {
    /// Returns the incarnation of the member, as long as the log may show it.
    pub(crate) fn incarnation(&self) -> Option<Incarnation> {
        match self {
            Self::Absent(_) | Self::Joining(_) => None,
            Self::Active(active) => Some(active.incarnation),
            Self::Leaving(leaving) => Some(leaving.incarnation),
        }
    }

    /// Returns the incarnation of the member, as long as it renews leases and has its own renewed.
    pub(crate) fn witness_incarnation(&self) -> Option<Incarnation> {
        match self {
            Self::Leaving(leaving) if leaving.is_leave_appended => None,
            _ => self.incarnation(),
        }
    }

    /// Reports whether the upstream may be granted units. It may not once the member leaves because
    /// the upstream is silent, or has appended its `Leave`.
    pub(crate) fn may_grant(&self) -> bool {
        match self {
            Self::Absent(_) | Self::Joining(_) => false,
            Self::Active(_) => true,
            Self::Leaving(leaving) => {
                !leaving.is_leave_appended && leaving.reason != LeaveReason::UpstreamSilent
            }
        }
    }

    /// Returns the phase of this state.
    pub(crate) fn phase(&self) -> Phase {
        match self {
            Self::Absent(_) => Phase::Absent,
            Self::Joining(_) => Phase::Joining,
            Self::Active(_) => Phase::Active,
            Self::Leaving(_) => Phase::Leaving,
        }
    }
}
