//! What has been reported last.

use ids::Offset;

/// What has been reported last, so that only changes are reported.
#[derive(Debug, Default)]
pub(crate) struct LastReport {
    /// Whether the lease held.
    pub(crate) lease_held: bool,
    /// Whether the process was informed.
    pub(crate) is_informed: bool,
    /// Life of the upstream that was accepted.
    pub(crate) instance: Option<String>,
    /// Offsets of the plans and the workspaces in force.
    pub(crate) versions: (Offset, Offset),
}
