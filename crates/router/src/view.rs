//! What traffic threads know of the fleet.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cluster::Fleet;
use ids::Fence;
use ids::Unit;
use membership::Announcement;
use membership::Status;

/// State of the fleet and of this process, published by the control thread as a whole.
#[derive(Clone, Debug)]
pub(crate) struct View {
    /// Whether what this process knows comes from the log or from its witnesses, and not from peers alone.
    pub(crate) can_answer_pulls: bool,
    /// The folded log.
    pub(crate) fleet: Arc<Fleet>,
    /// Whether this process can know which keys are withdrawn.
    pub(crate) is_informed: bool,
    /// Time at which the last request must have ended, or `None` if the upstream sees to that itself.
    pub(crate) run_until: Option<Duration>,
    /// Units that this process may dispatch, with their fences.
    pub(crate) serving: Arc<BTreeMap<Unit, Fence>>,
    /// State of the membership, for operators.
    pub(crate) status: Arc<Status>,
    /// The upstream that was accepted.
    pub(crate) upstream: Option<Arc<Announcement>>,
}
