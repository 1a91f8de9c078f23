//! What this process knows of the permits of one roll-out.

use std::time::Duration;

use ids::Offset;

/// What this process knows of the permits of one roll-out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct PermitState {
    /// Time of the last confirmation of the trial, `None` before the first.
    pub(crate) confirmed_at: Option<Duration>,
    /// Position of the order.
    pub(crate) position: Offset,
    /// Reason of the rollback, `None` if no decider has rolled the version back.
    pub(crate) rollback: Option<String>,
}
