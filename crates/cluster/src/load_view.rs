//! Loads and limits for planning moves.

use std::collections::BTreeMap;

use ids::Unit;
use ids::VmId;

use crate::Fleet;
use crate::Member;
use crate::PendingZones;

/// Largest speed of an upstream relative to the usual one.
const MAX_SPEED: f64 = 4.0;

/// Loads and limits that a member plans moves with. All loads are in one unit, such as requests per second.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    /// Maximum number of units to move at a time.
    pub budget: usize,
    /// Capacities of members whose upstreams limit the rate of requests or whose speeds are known, in slots of an upstream of
    /// usual speed. Other members have all of their slots.
    pub capacities: BTreeMap<VmId, f64>,
    /// Number of shards at which a member receives no more, or `None` for no limit.
    pub max_shards: Option<usize>,
    /// Whether a unit that is too heavy for any member's share may move to a member that bears it better.
    pub moves_heavy_units: bool,
    /// Known total loads of other members, which may be out of date. Loads are used only if those of all other members
    /// of the service are known.
    pub peer_loads: BTreeMap<VmId, f64>,
    /// States of zones that the log does not hold yet.
    pub pending_zones: PendingZones,
    /// Whether the member is about to stop and moves all of its units.
    pub stopping: bool,
    /// Fraction of its fair share by which the load of a member may differ before units are moved, or `None` for a
    /// tenth above and a seventh below.
    pub tolerance: Option<f64>,
    /// Share of the shards of the service that are on trial at present. It has no effect while no trial runs.
    pub trial_share: f64,
    /// Loads of the member's own units, or empty if loads are unknown, so that all units count alike.
    ///
    /// A shard or bucket without an entry is idle. The load of a pinned key without an entry is not known yet.
    pub unit_loads: BTreeMap<Unit, f64>,
}

impl LoadView {
    /// Reports whether a member may become the owner of shards and pinned keys of its service.
    pub(crate) fn is_candidate(&self, fleet: &Fleet, member: &Member) -> bool {
        self.pending_zones.is_candidate(fleet, member)
    }

    /// Returns the number of requests that the upstream of a member can run at once, weighted by its speed if that is known.
    pub(crate) fn capacity_of(&self, member: &Member) -> f64 {
        let slots = f64::from(member.join.slots);
        let capacity = self.capacities.get(&member.join.vm);
        capacity.map_or(slots, |capacity| capacity.min(slots * MAX_SPEED))
    }
}
