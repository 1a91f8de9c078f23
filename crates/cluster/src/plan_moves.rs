//! Planning of moves of units between members.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use ids::Unit;
use ids::VmId;

use crate::Fleet;
use crate::LoadView;
use crate::Member;
use crate::VersionRole;
use crate::plan_pins::balanced_members;
use crate::plan_pins::cool_pins;
use crate::plan_pins::is_hot;
use crate::plan_pins::service_load;
use crate::plan_trial::apply_budget;
use crate::plan_trial::assign_trial_units;
use crate::plan_trial::trial_load_limit;
use crate::planner::Node;
use crate::planner::Planner;
use crate::rendezvous_owner;
use crate::service_totals::ServiceTotals;

/// Load that an idle unit counts as, relative to the mean load of a unit.
const BASE_LOAD_FRACTION: f64 = 0.05;

/// Load relative to the fair share up to which nothing is moved.
const MAX_LOAD_RATIO: f64 = 1.10;

/// Load relative to the fair share down to which nothing is moved.
const MIN_LOAD_RATIO: f64 = 0.85;

/// Utilisation of the new owner of a heavy unit, relative to that of the present one, below which the unit is moved.
const HEAVY_MOVE_RATIO: f64 = 0.8;

/// Number of units relative to the fair share above which a member ignores the budget to move units
/// to nearly empty members.
const FAR_OVER_SHARE_RATIO: f64 = 1.5;

/// Number of units relative to the fair share below which a member is nearly empty.
const NEARLY_EMPTY_RATIO: f64 = 0.25;

/// Plans which units the member `me` moves to which other members.
///
/// Only the owner of a unit decides to move it. Shares are proportional to the capacities of the
/// candidates of the service. A member that is drained, in a zone that is out of service, or
/// stopping moves all its units. The owner of a pinned key whose load alone exceeds a fair share
/// moves all its other units. While a version of the service is on trial, its members get the units on trial and no others,
/// see `plan_trial_moves`.
///
/// Unless the loads of all other members of the service are known, all units are weighted equally,
/// since every member knows how many units each member has. Nothing is moved while all members are
/// close to their shares.
pub fn plan_moves(fleet: &Fleet, me: &VmId, view: &LoadView) -> Vec<(VmId, Vec<Unit>)> {
    let Some(planner) = Planner::new(fleet, me, view) else {
        return Vec::new();
    };
    let mut planned = planner.moves_to_trial();
    let given: usize = planned.iter().map(|(_, units)| units.len()).sum();
    planned.extend(planner.plan_other_moves(view.budget.saturating_sub(given)));
    planned
}

/// Keeps only the move to the member that receives the most units, as each receiver needs its
/// own log record.
fn keep_largest_transfer(moves: &mut BTreeMap<VmId, Vec<Unit>>) {
    let max_units = moves.values().map(Vec::len).max().unwrap_or_default();
    let largest = moves.iter().find(|(_, units)| units.len() == max_units);
    if let Some(vm) = largest.map(|(vm, _)| vm.clone()) {
        moves.retain(|other, _| *other == vm);
    }
}

impl<'a> Planner<'a> {
    /// Returns the planner of the moves of a member, or `None` if it is none.
    pub(crate) fn new(fleet: &'a Fleet, me: &VmId, view: &'a LoadView) -> Option<Self> {
        let member = fleet.members().get(me)?;
        let may_receive = |other: &Member| may_receive(fleet, member, view, other);
        let service = &member.join.service;
        Some(Self {
            fleet,
            base_load: base_load(fleet, member, view),
            me: member,
            trial_load_limit: trial_load_limit(fleet, member, view),
            trial_units: assign_trial_units(fleet, service, view.trial_share, may_receive),
            view,
        })
    }

    /// Plans the moves of all units but those on trial.
    fn plan_other_moves(&self, budget: usize) -> Vec<(VmId, Vec<Unit>)> {
        let mut moves = self.plan_keyed_moves();
        for (unit, to) in self.pins_to_return() {
            for units in moves.values_mut() {
                units.retain(|planned| *planned != unit);
            }
            moves.entry(to).or_default().push(unit);
        }
        if self.view.max_shards.is_none() || self.is_leaving() {
            for (to, units) in self.plan_bucket_moves() {
                moves.entry(to).or_default().extend(units);
            }
        }
        if self.view.max_shards.is_none() || self.sends_all() {
            return apply_budget(moves, budget);
        }
        if self.is_far_over_share() {
            let empty = self.nearly_empty_members();
            if moves.keys().any(|vm| empty.contains(vm)) {
                moves.retain(|vm, _| empty.contains(vm));
                return moves.into_iter().collect();
            }
        }
        keep_largest_transfer(&mut moves);
        apply_budget(moves, budget)
    }

    fn is_leaving(&self) -> bool {
        self.view.stopping || !self.view.is_candidate(self.fleet, self.me)
    }

    /// Reports whether the member has far more units than its share.
    fn is_far_over_share(&self) -> bool {
        let ratio =
            self.unit_count(self.me) / self.fair_unit_count(&self.service_totals(), self.me);
        ratio > FAR_OVER_SHARE_RATIO
    }

    /// Returns the members that have few units because they have just joined or returned.
    ///
    /// They get their whole shares at once, although units are not served while they are moved.
    fn nearly_empty_members(&self) -> BTreeSet<VmId> {
        let totals = self.service_totals();
        balanced_members(self.fleet, self.me)
            .filter(|member| self.may_receive(member))
            .filter(|member| {
                self.unit_count(member) < NEARLY_EMPTY_RATIO * self.fair_unit_count(&totals, member)
            })
            .map(|member| member.join.vm.clone())
            .collect()
    }

    fn unit_count(&self, member: &Member) -> f64 {
        self.fleet.units.keyed_count_of(&member.join.vm) as f64
    }

    /// Returns the totals of the service, which a caller computes once for all its members.
    fn service_totals(&self) -> ServiceTotals {
        let members = || balanced_members(self.fleet, self.me);
        let receivers = members().filter(|member| self.may_receive(member));
        ServiceTotals {
            capacity: receivers.map(|member| self.view.capacity_of(member)).sum(),
            units: members().map(|member| self.unit_count(member)).sum(),
        }
    }

    fn fair_unit_count(&self, totals: &ServiceTotals, member: &Member) -> f64 {
        totals.fair_unit_count(self.view.capacity_of(member))
    }

    /// Reports whether moves that balance load may give units of its service to a member.
    fn may_receive(&self, member: &Member) -> bool {
        self.fleet.version_role(member) == VersionRole::Current
            && may_receive(self.fleet, self.me, self.view, member)
    }

    /// Reports whether the member moves away all units that this trial has not assigned to it.
    fn sends_all(&self) -> bool {
        self.is_leaving() || self.is_on_trial()
    }

    fn plan_bucket_moves(&self) -> BTreeMap<VmId, Vec<Unit>> {
        let units = self.own_units(|unit| matches!(unit, Unit::Bucket { .. }));
        let nodes: Vec<Node<'a>> = self
            .fleet
            .members()
            .values()
            .map(|member| Node {
                capacity: f64::from(member.join.slots),
                eligible: may_receive(self.fleet, self.me, self.view, member),
                load: self.fleet.units.bucket_count_of(&member.join.vm) as f64,
                member,
            })
            .collect();
        let units = units.into_iter().map(|unit| (unit, 1.0)).collect();
        self.distribute(&nodes, units, 1.0)
    }

    /// Returns pinned keys that are no longer hot, with the other members that own their shards.
    fn pins_to_return(&self) -> Vec<(Unit, VmId)> {
        if self.sends_all() {
            return Vec::new();
        }
        cool_pins(self.fleet, &self.me.join.vm, self.view)
            .into_iter()
            .filter(|(_, to)| *to != self.me.join.vm)
            .filter(|(_, to)| {
                let member = self.fleet.members().get(to);
                member.is_some_and(|member| self.may_receive(member))
            })
            .collect()
    }

    pub(crate) fn plan_keyed_moves(&self) -> BTreeMap<VmId, Vec<Unit>> {
        let own = self.units_with_loads();
        let own_load: f64 = own.iter().map(|(_, load)| load).sum();
        let mut nodes: Vec<Node<'a>> = self.service_nodes(own_load);
        let count: usize = nodes
            .iter()
            .map(|node| self.fleet.units.keyed_count_of(&node.member.join.vm))
            .sum();
        let total: f64 = nodes.iter().map(|node| node.load).sum();
        let quantum = total / count.max(1) as f64;
        let hot = self.hot_pins(&own, &nodes);
        let movable: Vec<(Unit, f64)> = own
            .into_iter()
            .filter(|(unit, _)| self.sends_all() || !hot.contains(unit))
            .collect();
        if !hot.is_empty() && !self.sends_all() {
            self.isolate_hot_pins(&mut nodes, &movable);
        } else if self.is_balanced(&nodes) {
            return BTreeMap::new();
        }
        match self.plan_heavy_move(&nodes, &movable) {
            Some((to, unit)) => BTreeMap::from([(to, vec![unit])]),
            None => self.distribute(&nodes, movable, quantum),
        }
    }

    /// Plans the move of a unit that alone exceeds the fair share of this member to a member that it would load clearly less,
    /// for example one with a faster upstream. The distribution moves no such unit, since it fits into no transfer. Owners of
    /// several such units choose different members.
    fn plan_heavy_move(&self, nodes: &[Node<'a>], movable: &[(Unit, f64)]) -> Option<(VmId, Unit)> {
        if !self.view.moves_heavy_units || self.is_leaving() || self.base_load.is_none() {
            return None;
        }
        let heaviest = movable
            .iter()
            .max_by(|a, b| a.1.total_cmp(&b.1).then_with(|| b.0.cmp(&a.0)));
        let (unit, load) = heaviest?;
        let total: f64 = nodes.iter().map(|node| node.load).sum();
        if *load <= total * self.share_fraction(nodes) {
            return None;
        }
        let is_me = |node: &&Node<'a>| node.member.join.vm == self.me.join.vm;
        let own = nodes.iter().find(is_me)?;
        let max_level = own.load / own.capacity * HEAVY_MOVE_RATIO;
        let receivers: Vec<&Member> = nodes
            .iter()
            .filter(|node| node.eligible && !is_me(node))
            .filter(|node| (node.load + load) / node.capacity < max_level)
            .map(|node| node.member)
            .collect();
        let to = rendezvous_owner(unit, &receivers)?;
        Some((to.clone(), unit.clone()))
    }

    /// Returns the own shards and pinned keys with their loads, but for those on trial.
    fn units_with_loads(&self) -> Vec<(Unit, f64)> {
        let loads = &self.view.unit_loads;
        let load = |unit: &Unit| match self.base_load {
            None => 1.0,
            Some(base) => base + loads.get(unit).copied().unwrap_or(0.0),
        };
        self.own_units(|unit| is_keyed(unit) && self.trial_owner(unit).is_none())
            .into_iter()
            .map(|unit| {
                let load = load(&unit);
                (unit, load)
            })
            .collect()
    }

    fn own_units(&self, kind: impl Fn(&Unit) -> bool) -> Vec<Unit> {
        self.fleet
            .units_of(&self.me.join.vm)
            .map(|(unit, _)| unit)
            .filter(|unit| kind(unit))
            .cloned()
            .collect()
    }

    fn service_nodes(&self, own_load: f64) -> Vec<Node<'a>> {
        balanced_members(self.fleet, self.me)
            .map(|member| self.service_node(member, own_load))
            .collect()
    }

    /// Returns the node of a member of the service.
    ///
    /// Another member that owns one pinned key and no other pinned key or shard receives no units,
    /// and its load is left out.
    fn service_node(&self, member: &'a Member, own_load: f64) -> Node<'a> {
        let vm = &member.join.vm;
        let is_me = *vm == self.me.join.vm;
        let is_isolated = !is_me && self.fleet.units.owns_only_one_pin(vm);
        let count = self.fleet.units.keyed_count_of(vm) as f64;
        let has_capacity = self
            .view
            .max_shards
            .is_none_or(|max_shards| (count as usize) < max_shards);
        let peer_load = self.view.peer_loads.get(vm).copied().unwrap_or(0.0);
        let load = match self.base_load {
            _ if is_isolated => 0.0,
            _ if is_me => own_load,
            None => count,
            Some(base) => base * count + peer_load,
        };
        Node {
            capacity: self.view.capacity_of(member),
            eligible: self.may_receive(member)
                && !is_isolated
                && (is_me || has_capacity || self.sends_all()),
            load,
            member,
        }
    }

    fn hot_pins(&self, own: &[(Unit, f64)], nodes: &[Node<'_>]) -> Vec<Unit> {
        if self.base_load.is_none() {
            return Vec::new();
        }
        let total: f64 = nodes.iter().map(|node| node.load).sum();
        let share = total * self.share_fraction(nodes);
        own.iter()
            .filter(|(unit, load)| matches!(unit, Unit::Pinned { .. }) && is_hot(*load, share))
            .map(|(unit, _)| unit.clone())
            .collect()
    }

    fn share_fraction(&self, nodes: &[Node<'_>]) -> f64 {
        let eligible = nodes.iter().filter(|node| node.eligible);
        let capacity: f64 = eligible.map(|node| node.capacity).sum();
        self.view.capacity_of(self.me) / capacity.max(1.0)
    }

    /// Makes the member ineligible to receive units, so that it moves all units but its hot keys.
    fn isolate_hot_pins(&self, nodes: &mut [Node<'_>], movable: &[(Unit, f64)]) {
        for node in nodes {
            if node.member.join.vm == self.me.join.vm {
                node.eligible = false;
                node.load = movable.iter().map(|(_, load)| load).sum();
            }
        }
    }

    /// Reports whether all loads are so close to their shares that moves would only add churn.
    fn is_balanced(&self, nodes: &[Node<'_>]) -> bool {
        if self.sends_all() {
            return false;
        }
        let eligible = || nodes.iter().filter(|node| node.eligible);
        let total: f64 = nodes.iter().map(|node| node.load).sum();
        let capacity: f64 = eligible().map(|node| node.capacity).sum();
        eligible().all(|node| {
            let share = total * node.capacity / capacity;
            let tolerance = self.view.tolerance;
            let low = tolerance.map_or(MIN_LOAD_RATIO, |fraction| 1.0 - fraction);
            let high = tolerance.map_or(MAX_LOAD_RATIO, |fraction| 1.0 + fraction);
            (low * share..=high * share).contains(&node.load)
        })
    }
}

/// Returns the load added to that of each unit, so that idle units are distributed too.
///
/// Returns `None` while the loads of some members of the service are unknown.
fn base_load(fleet: &Fleet, me: &Member, view: &LoadView) -> Option<f64> {
    let mean = mean_service_load(fleet, me, view).filter(|mean| *mean > 0.0)?;
    Some(BASE_LOAD_FRACTION * mean)
}

/// Returns the mean load of the shards and pinned keys of a member's service, but for those of other members on trial.
///
/// Returns `None` while the loads of some members of the service are unknown.
pub(crate) fn mean_service_load(fleet: &Fleet, me: &Member, view: &LoadView) -> Option<f64> {
    let total = service_load(fleet, me, view)?;
    let count: usize = balanced_members(fleet, me)
        .map(|member| fleet.units.keyed_count_of(&member.join.vm))
        .sum();
    Some(total / count.max(1) as f64)
}

/// Reports whether a member is in service, as far as this member knows, and does not stop.
fn may_receive(fleet: &Fleet, me: &Member, view: &LoadView, member: &Member) -> bool {
    let is_stopping = member.join.vm == me.join.vm && view.stopping;
    view.is_candidate(fleet, member) && !is_stopping
}

fn is_keyed(unit: &Unit) -> bool {
    !matches!(unit, Unit::Bucket { .. })
}
