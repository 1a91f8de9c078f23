//! The states of a unit that this process owns, and the transitions between them.

use std::time::Duration;

use ids::Fence;

use crate::Destination;

/// A unit that this process owns, in one state of its life cycle.
#[derive(Clone, Debug)]
pub(crate) struct OwnedUnit<S> {
    /// Fence under which the unit is owned.
    pub(crate) fence: Fence,
    /// State of the unit.
    pub(crate) state: S,
}

/// The lease of the previous owner may not have ended yet.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    /// Time by which that lease has ended.
    pub(crate) until: Duration,
}

/// The upstream has not confirmed the grant yet.
#[derive(Clone, Debug)]
pub(crate) struct Granting;

/// Requests may be dispatched.
#[derive(Clone, Debug)]
pub(crate) struct Serving;

/// No new requests are dispatched, and requests in flight may still run.
#[derive(Clone, Debug)]
pub(crate) struct Draining {
    /// Next owner that the `Move` names, or `None` if the unit is released without a `Move`.
    pub(crate) to: Option<Destination>,
}

/// No requests run, and the upstream has not confirmed the revocation of the grant yet.
#[derive(Clone, Debug)]
pub(crate) struct Revoking {
    /// Next owner that the `Move` names, or `None` if the unit is released without a `Move`.
    pub(crate) to: Option<Destination>,
}

/// The `Move` record that hands the unit over has been appended.
#[derive(Clone, Debug)]
pub(crate) struct Moving;

impl OwnedUnit<Waiting> {
    pub(crate) fn new(fence: Fence, until: Duration) -> Self {
        let state = Waiting { until };
        Self { fence, state }
    }

    pub(crate) fn finish_wait(self) -> OwnedUnit<Granting> {
        self.with_state(Granting)
    }
}

impl OwnedUnit<Granting> {
    pub(crate) fn confirm_grant(self) -> OwnedUnit<Serving> {
        self.with_state(Serving)
    }

    /// Starts to hand the unit over. Requests may still run on it under an earlier grant.
    pub(crate) fn drain(self, to: Option<Destination>) -> OwnedUnit<Draining> {
        self.with_state(Draining { to })
    }
}

impl OwnedUnit<Serving> {
    pub(crate) fn lose_grant(self) -> OwnedUnit<Granting> {
        self.with_state(Granting)
    }

    pub(crate) fn drain(self, to: Option<Destination>) -> OwnedUnit<Draining> {
        self.with_state(Draining { to })
    }
}

impl OwnedUnit<Draining> {
    pub(crate) fn finish_drain(self) -> OwnedUnit<Revoking> {
        let to = self.state.to.clone();
        self.with_state(Revoking { to })
    }
}

impl OwnedUnit<Revoking> {
    pub(crate) fn start_move(self) -> OwnedUnit<Moving> {
        self.with_state(Moving)
    }
}

impl<S> OwnedUnit<S> {
    fn with_state<T>(self, state: T) -> OwnedUnit<T> {
        let fence = self.fence;
        OwnedUnit { fence, state }
    }

    /// Returns the unit to service after a handover that did not take place.
    pub(crate) fn cancel_handover(self) -> OwnedUnit<Granting> {
        self.with_state(Granting)
    }
}
