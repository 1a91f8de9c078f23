//! The state that the agent last reported.

use std::collections::BTreeSet;
use std::time::Duration;

use ids::Offset;
use ids::ZoneId;

/// The state that the agent last reported as decisions, so that only changes are reported.
#[derive(Debug, Default)]
pub(crate) struct LastReport {
    /// Revision of the manifest that operators had declared.
    pub(crate) declared_revision: u64,
    /// Zones that operators had declared out of service.
    pub(crate) declared_zones: BTreeSet<ZoneId>,
    /// Time at which the member was found to be out of service, while it owned units.
    pub(crate) evacuating_since: Option<Duration>,
    /// Instance identifier of the accepted upstream.
    pub(crate) instance: Option<String>,
    /// Whether the process was informed.
    pub(crate) is_informed: bool,
    /// Whether the lease was held.
    pub(crate) lease_held: bool,
    /// Zones that were out of service by the log.
    pub(crate) recorded_zones: BTreeSet<ZoneId>,
    /// Offsets of the plans and the workspaces in force.
    pub(crate) versions: (Offset, Offset),
}
