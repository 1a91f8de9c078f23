//! State that the control thread publishes to traffic threads.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cluster::Fleet;
use cluster::PendingZones;
use ids::Fence;
use ids::Unit;
use membership::Announcement;
use membership::Status;
use policy::Reason;

use crate::rollout::Rollouts;

/// State of the fleet and of this process, published by the control thread as a whole.
#[derive(Clone, Debug)]
pub(crate) struct View {
    /// Whether this process may answer the pulls of peers: its knowledge comes from the log or from its witnesses, and not
    /// from peers alone.
    pub(crate) can_answer_pulls: bool,
    /// Latest time until which this process knows all declarations of operators, `None` before it has read any.
    pub(crate) declarations_until: Option<Duration>,
    /// State of the fleet, folded from the log, with the declared manifest in force.
    pub(crate) fleet: Arc<Fleet>,
    /// Whether this process can know which keys are withdrawn. Requests are refused while it cannot.
    pub(crate) is_informed: bool,
    /// Whether all of the log has been read, so that a route or key that the configuration lacks is not in force.
    pub(crate) is_up_to_date: bool,
    /// Whether the log lacks what operators have declared.
    pub(crate) lacks_declarations: bool,
    /// States of zones that operators have declared and that the log does not hold yet.
    pub(crate) pending_zones: Arc<PendingZones>,
    /// Time by which requests that are dispatched now must have ended, or `None` if the upstream enforces that itself.
    pub(crate) request_deadline: Option<Duration>,
    /// Time from which no request is started on the upstream, since a roll-out withdraws its version or no decider confirms its
    /// trial; `None` while there is no such time.
    pub(crate) rollout_starts_until: Option<Duration>,
    /// Roll-outs of versions of upstreams.
    pub(crate) rollouts: Arc<Rollouts>,
    /// Units whose requests this process may dispatch, with their fences.
    pub(crate) serving: Arc<BTreeMap<Unit, Fence>>,
    /// Time from which no request is started on the upstream, since its zone is out of service; `None` while it is in service.
    pub(crate) starts_until: Option<Duration>,
    /// State of the membership, for operators.
    pub(crate) status: Arc<Status>,
    /// Announcement of the accepted upstream.
    pub(crate) upstream: Option<Arc<Announcement>>,
}

impl View {
    /// Reports whether requests may be started on the upstream in view of the state of its zone.
    pub(crate) fn is_zone_open(&self, now: Duration) -> bool {
        self.starts_until.is_none_or(|until| now < until)
    }

    /// Reports whether requests may be started on the upstream in view of its version.
    pub(crate) fn is_version_open(&self, now: Duration) -> bool {
        self.rollout_starts_until.is_none_or(|until| now < until)
    }

    /// Returns the reason to refuse a request with, in place of one that states that something is not declared while this
    /// process cannot know what has been declared in the meantime.
    pub(crate) fn known_reason(&self, reason: Reason) -> Reason {
        match reason {
            Reason::NotGranted | Reason::Unauthenticated | Reason::UnknownRoute
                if !self.is_up_to_date =>
            {
                Reason::Uninformed
            }
            other => other,
        }
    }
}
