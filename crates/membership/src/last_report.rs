//! The state that the agent last reported.

use ids::Offset;

/// The state that the agent last reported as decisions, so that only changes are reported.
#[derive(Debug, Default)]
pub(crate) struct LastReport {
    /// Instance identifier of the accepted upstream.
    pub(crate) instance: Option<String>,
    /// Whether the process was informed.
    pub(crate) is_informed: bool,
    /// Whether the lease was held.
    pub(crate) lease_held: bool,
    /// Offsets of the plans and the workspaces in force.
    pub(crate) versions: (Offset, Offset),
}
