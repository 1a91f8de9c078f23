//! The state of a unit that this process owns.

use ids::Fence;

use crate::owned_unit::Draining;
use crate::owned_unit::Granting;
use crate::owned_unit::Moving;
use crate::owned_unit::OwnedUnit;
use crate::owned_unit::Revoking;
use crate::owned_unit::Serving;
use crate::owned_unit::Waiting;

/// A unit that this process owns, in any of its states.
#[derive(Clone, Debug)]
pub(crate) enum UnitState {
    Waiting(OwnedUnit<Waiting>),
    Granting(OwnedUnit<Granting>),
    Serving(OwnedUnit<Serving>),
    Draining(OwnedUnit<Draining>),
    Revoking(OwnedUnit<Revoking>),
    Moving(OwnedUnit<Moving>),
}

impl UnitState {
    /// Returns the fence under which the unit is owned.
    pub(crate) fn fence(&self) -> Fence {
        match self {
            Self::Waiting(owned) => owned.fence,
            Self::Granting(owned) => owned.fence,
            Self::Serving(owned) => owned.fence,
            Self::Draining(owned) => owned.fence,
            Self::Revoking(owned) => owned.fence,
            Self::Moving(owned) => owned.fence,
        }
    }

    /// Returns the name of the state.
    pub(crate) fn state_name(&self) -> &'static str {
        match self {
            Self::Waiting(_) => "waiting",
            Self::Granting(_) => "granting",
            Self::Serving(_) => "serving",
            Self::Draining(_) => "draining",
            Self::Revoking(_) => "revoking",
            Self::Moving(_) => "moving",
        }
    }

    /// Reports whether the unit is being handed over.
    pub(crate) fn is_being_handed_over(&self) -> bool {
        matches!(
            self,
            Self::Draining(_) | Self::Revoking(_) | Self::Moving(_)
        )
    }

    /// Reports whether the upstream should hold a grant of the unit.
    pub(crate) fn requires_grant(&self) -> bool {
        matches!(
            self,
            Self::Granting(_) | Self::Serving(_) | Self::Draining(_)
        )
    }
}
