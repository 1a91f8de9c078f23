//! Distribution of units over members in proportion to their capacities.

use std::collections::BTreeMap;

use ids::Unit;
use ids::VmId;

use crate::Fleet;
use crate::LoadView;
use crate::Member;
use crate::node_level::NodeLevel;
use crate::node_level::transfers_from;
use crate::rendezvous_owner;

/// Weight of one slot in the distribution of units.
const WEIGHT_PER_SLOT: f64 = 1_000.0;

/// Plans the moves of one member from the state of the fleet and the known loads.
pub(crate) struct Planner<'a> {
    pub(crate) fleet: &'a Fleet,
    /// Load added to that of each unit, or `None` if all units are weighted equally.
    pub(crate) base_load: Option<f64>,
    pub(crate) me: &'a Member,
    /// Load above which a unit of this member is not given to a trial.
    pub(crate) trial_load_limit: f64,
    /// Members on trial by the units that are assigned to them.
    pub(crate) trial_units: BTreeMap<Unit, VmId>,
    pub(crate) view: &'a LoadView,
}

/// One member among those that the planner distributes units over, with its load.
pub(crate) struct Node<'a> {
    /// Number of requests that the upstream of the member can run at once.
    pub(crate) capacity: f64,
    pub(crate) eligible: bool,
    pub(crate) load: f64,
    pub(crate) member: &'a Member,
}

impl Planner<'_> {
    /// Returns the units to move to each other member so that all members come close to their shares.
    pub(crate) fn distribute(
        &self,
        nodes: &[Node<'_>],
        mut units: Vec<(Unit, f64)>,
        quantum: f64,
    ) -> BTreeMap<VmId, Vec<Unit>> {
        let Some(sender) = nodes
            .iter()
            .position(|node| node.member.join.vm == self.me.join.vm)
        else {
            return BTreeMap::new();
        };
        let levels: Vec<NodeLevel> = nodes.iter().map(|node| node.level(quantum)).collect();
        let sends_all = !levels[sender].eligible;
        units.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        let mut moves: BTreeMap<VmId, Vec<Unit>> = BTreeMap::new();
        for (receiver, amount) in transfers_from(&levels, sender) {
            let chosen = take_heaviest(&mut units, amount as f64 * quantum, quantum);
            let to = nodes[receiver].member.join.vm.clone();
            moves.insert(to, chosen);
        }
        if sends_all {
            self.assign_remainder(nodes, units, &mut moves);
        }
        moves.retain(|_, units| !units.is_empty());
        moves
    }

    /// Assigns the units that are left over by rounding when a member moves all its units.
    fn assign_remainder(
        &self,
        nodes: &[Node<'_>],
        units: Vec<(Unit, f64)>,
        moves: &mut BTreeMap<VmId, Vec<Unit>>,
    ) {
        let receivers: Vec<&Member> = nodes
            .iter()
            .filter(|node| node.eligible)
            .map(|node| node.member)
            .collect();
        for (unit, _) in units {
            if let Some(to) = rendezvous_owner(&unit, &receivers) {
                moves.entry(to.clone()).or_default().push(unit);
            }
        }
    }
}

impl Node<'_> {
    fn level(&self, quantum: f64) -> NodeLevel {
        let quanta = if quantum > 0.0 {
            self.load / quantum
        } else {
            0.0
        };
        NodeLevel {
            eligible: self.eligible,
            level: quanta.round() as u64,
            weight: (self.capacity * WEIGHT_PER_SLOT).round() as u32,
        }
    }
}

/// Removes and returns the heaviest units that fit into an amount of load, so that few units move.
fn take_heaviest(units: &mut Vec<(Unit, f64)>, amount: f64, quantum: f64) -> Vec<Unit> {
    let mut remaining = amount;
    let mut taken = Vec::new();
    units.retain(|(unit, load)| {
        let fits = remaining >= quantum / 2.0 && *load <= remaining + quantum / 2.0 && *load > 0.0;
        if fits {
            remaining -= load;
            taken.push(unit.clone());
        }
        !fits
    });
    taken
}
