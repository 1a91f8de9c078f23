//! Loads and limits for planning moves.

use std::collections::BTreeMap;

use ids::Unit;
use ids::VmId;

/// Loads and limits that a member plans moves with. All loads are in one unit, such as requests per second.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    /// Maximum number of units to move at a time.
    pub budget: usize,
    /// Number of shards at which a member receives no more, or `None` for no limit.
    pub max_shards: Option<usize>,
    /// Known total loads of other members, which may be out of date. Loads are used only if those of all other members
    /// of the service are known.
    pub peer_loads: BTreeMap<VmId, f64>,
    /// Whether the member is about to stop and moves all of its units.
    pub stopping: bool,
    /// Fraction of its fair share by which the load of a member may differ before units are moved, or `None` for a
    /// tenth above and a seventh below.
    pub tolerance: Option<f64>,
    /// Loads of the member's own units, or empty if loads are unknown, so that all units count alike.
    ///
    /// A shard or bucket without an entry is idle. The load of a pinned key without an entry is not known yet.
    pub unit_loads: BTreeMap<Unit, f64>,
}
