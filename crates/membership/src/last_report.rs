//! The state that the agent last reported.

use ids::Offset;

/// The state that the agent last reported as decisions, so that only changes are reported.
#[derive(Debug, Default)]
pub(crate) struct LastReport {
    /// Whether the lease was held.
    pub(crate) lease_held: bool,
    /// Whether the process was informed.
    pub(crate) is_informed: bool,
    /// Instance identifier of the accepted upstream.
    pub(crate) instance: Option<String>,
    /// Offsets of the plans and the workspaces in force.
    pub(crate) versions: (Offset, Offset),
}
