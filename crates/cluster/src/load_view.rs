//! What a member knows of load when it plans.

use std::collections::BTreeMap;

use ids::Unit;
use ids::VmId;

/// What a member knows of load when it plans. All loads are in one unit, such as requests per second.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    /// Most units to move at a time.
    pub budget: usize,
    /// Shards up to which a member attracts more, or `None` for any number.
    pub max_shards: Option<usize>,
    /// Total loads of other members, as far as they are known. They may be late. Loads are used only
    /// if those of all other members of the service are known.
    pub peer_loads: BTreeMap<VmId, f64>,
    /// Whether the member is about to stop and passes everything on.
    pub stopping: bool,
    /// Part of its fair share by which the load of a member may differ before units are moved, or `None` for a tenth
    /// above and a seventh below.
    pub tolerance: Option<f64>,
    /// Loads of the member's own units, where a unit that is left out is idle, but for a pinned key,
    /// whose load is not known yet. Empty if loads are unknown, so that units count alike.
    pub unit_loads: BTreeMap<Unit, f64>,
}
