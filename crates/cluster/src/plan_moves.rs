//! Planning of moves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use ids::ServiceId;
use ids::Unit;
use ids::VmId;

use crate::Fleet;
use crate::LoadView;
use crate::Member;
use crate::plan::Node;
use crate::plan::Plan;
use crate::plan_pins::cool_pins;
use crate::plan_pins::is_hot;
use crate::plan_pins::members_of;
use crate::plan_pins::total_load;

/// What an idle unit counts, relative to the mean load of units.
const IDLE_PART: f64 = 0.05;

/// Load over the fair share up to which nothing is moved.
const LOAD_TOLERANCE: f64 = 1.10;

/// Load below the fair share from which on a member attracts units.
const LOAD_ATTRACTION: f64 = 0.85;

/// Units over the fair share from which on a member passes units on to members that have hardly any without a budget.
const FAR_TOO_MANY: f64 = 1.5;

/// Part of its fair share below which a member has hardly any units.
const NEARLY_EMPTY: f64 = 0.25;

/// Plans which units the member `me` passes to whom.
///
/// Each owner alone decides about its units. Shares are in proportion to slots over the candidates
/// of the service. A member that is drained, in a zone that is out, or stopping gives everything.
/// The owner of a pinned key that takes a fair share by itself gives everything else.
///
/// Unless the loads of all other members of the service are known, all units count alike, since
/// every member knows the counts of all. Nothing is moved while all members are near their shares.
pub fn plan_moves(fleet: &Fleet, me: &VmId, view: &LoadView) -> Vec<(VmId, Vec<Unit>)> {
    let Some(member) = fleet.members().get(me) else {
        return Vec::new();
    };
    let plan = Plan {
        fleet,
        idle_load: idle_load(fleet, member, view),
        me: member,
        view,
    };
    let mut moves = plan.shards();
    for (unit, to) in plan.returning_pins() {
        for units in moves.values_mut() {
            units.retain(|planned| *planned != unit);
        }
        moves.entry(to).or_default().push(unit);
    }
    if view.max_shards.is_none() || plan.leaves() {
        for (to, units) in plan.buckets() {
            moves.entry(to).or_default().extend(units);
        }
    }
    if view.max_shards.is_none() || plan.leaves() {
        return limit(moves, view.budget);
    }
    if plan.has_far_too_many() {
        let empty = plan.nearly_empty();
        if moves.keys().any(|vm| empty.contains(vm)) {
            moves.retain(|vm, _| empty.contains(vm));
            return moves.into_iter().collect();
        }
    }
    keep_largest(&mut moves);
    limit(moves, view.budget)
}

/// Keeps the units of the member that gets most, as each receiver costs a record.
fn keep_largest(moves: &mut BTreeMap<VmId, Vec<Unit>>) {
    let most = moves.values().map(Vec::len).max().unwrap_or_default();
    let largest = moves.iter().find(|(_, units)| units.len() == most);
    if let Some(vm) = largest.map(|(vm, _)| vm.clone()) {
        moves.retain(|other, _| *other == vm);
    }
}

/// Keeps a part of each member's units, so that late loads do not make one receive too much.
fn limit(moves: BTreeMap<VmId, Vec<Unit>>, budget: usize) -> Vec<(VmId, Vec<Unit>)> {
    let total: usize = moves.values().map(Vec::len).sum();
    let mut left = budget;
    let mut limited = Vec::new();
    for (to, mut units) in moves {
        if total > budget {
            units.truncate((units.len() * budget).div_ceil(total).min(left));
        }
        left -= units.len().min(left);
        if !units.is_empty() {
            limited.push((to, units));
        }
    }
    limited
}

impl<'a> Plan<'a> {
    fn leaves(&self) -> bool {
        self.view.stopping || !self.fleet.is_candidate(self.me)
    }

    /// Tells whether the member has far more units than its share.
    fn has_far_too_many(&self) -> bool {
        let part = self.count(self.me) / self.fair_count(self.me);
        part > FAR_TOO_MANY
    }

    /// Returns the members that have hardly any units, since they have just joined or returned. It is better to pass their
    /// shares on to them at once, although units are not served on their way.
    fn nearly_empty(&self) -> BTreeSet<VmId> {
        members_of(self.fleet, &self.me.join.service)
            .filter(|member| self.may_receive(member))
            .filter(|member| self.count(member) < NEARLY_EMPTY * self.fair_count(member))
            .map(|member| member.join.vm.clone())
            .collect()
    }

    fn count(&self, member: &Member) -> f64 {
        self.fleet.units.keyed_count_of(&member.join.vm) as f64
    }

    /// Returns how many units of its service a member would have if units counted alike.
    fn fair_count(&self, member: &Member) -> f64 {
        let members = || members_of(self.fleet, &self.me.join.service);
        let total: f64 = members().map(|member| self.count(member)).sum();
        let receivers = members().filter(|member| self.may_receive(member));
        let slots: u32 = receivers.map(|member| member.join.slots).sum();
        total * f64::from(member.join.slots) / f64::from(slots.max(1))
    }

    fn may_receive(&self, member: &Member) -> bool {
        let leaves = member.join.vm == self.me.join.vm && self.view.stopping;
        self.fleet.is_candidate(member) && !leaves
    }

    fn buckets(&self) -> BTreeMap<VmId, Vec<Unit>> {
        let units = self.own_units(|unit| matches!(unit, Unit::Bucket { .. }));
        let nodes: Vec<Node<'a>> = self
            .fleet
            .members()
            .values()
            .map(|member| Node {
                eligible: self.may_receive(member),
                load: self.fleet.units.bucket_count_of(&member.join.vm) as f64,
                member,
            })
            .collect();
        let units = units.into_iter().map(|unit| (unit, 1.0)).collect();
        self.distribute(&nodes, units, 1.0)
    }

    /// Returns pinned keys that are no longer hot and join their shards at other members.
    fn returning_pins(&self) -> Vec<(Unit, VmId)> {
        if self.leaves() {
            return Vec::new();
        }
        cool_pins(self.fleet, &self.me.join.vm, self.view)
            .into_iter()
            .filter(|(_, to)| *to != self.me.join.vm)
            .filter(|(_, to)| {
                let member = self.fleet.members().get(to);
                member.is_some_and(|member| self.fleet.is_candidate(member))
            })
            .collect()
    }

    fn shards(&self) -> BTreeMap<VmId, Vec<Unit>> {
        let service = &self.me.join.service;
        let own = self.weighted_units();
        let own_load: f64 = own.iter().map(|(_, load)| load).sum();
        let mut nodes: Vec<Node<'a>> = self.service_nodes(service, own_load);
        let count: usize = nodes
            .iter()
            .map(|node| self.fleet.units.keyed_count_of(&node.member.join.vm))
            .sum();
        let total: f64 = nodes.iter().map(|node| node.load).sum();
        let quantum = total / count.max(1) as f64;
        let hot = self.hot_pins(&own, &nodes);
        let movable: Vec<(Unit, f64)> = own
            .into_iter()
            .filter(|(unit, _)| self.leaves() || !hot.contains(unit))
            .collect();
        if !hot.is_empty() && !self.leaves() {
            self.isolate_hot(&mut nodes, &movable);
        } else if self.is_settled(&nodes) {
            return BTreeMap::new();
        }
        self.distribute(&nodes, movable, quantum)
    }

    /// Returns the own shards and pinned keys with their loads.
    fn weighted_units(&self) -> Vec<(Unit, f64)> {
        let loads = &self.view.unit_loads;
        let load = |unit: &Unit| match self.idle_load {
            None => 1.0,
            Some(idle) => idle + loads.get(unit).copied().unwrap_or(0.0),
        };
        self.own_units(is_keyed)
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

    fn service_nodes(&self, service: &ServiceId, own_load: f64) -> Vec<Node<'a>> {
        members_of(self.fleet, service)
            .map(|member| self.service_node(member, own_load))
            .collect()
    }

    /// Returns a member of the service. One that holds a single pinned key stays out of the plan.
    fn service_node(&self, member: &'a Member, own_load: f64) -> Node<'a> {
        let vm = &member.join.vm;
        let is_me = *vm == self.me.join.vm;
        let is_isolated = !is_me && self.fleet.units.holds_single_pin(vm);
        let count = self.fleet.units.keyed_count_of(vm) as f64;
        let has_room = self
            .view
            .max_shards
            .is_none_or(|most| (count as usize) < most);
        let peer_load = self.view.peer_loads.get(vm).copied().unwrap_or(0.0);
        let load = match self.idle_load {
            _ if is_isolated => 0.0,
            _ if is_me => own_load,
            None => count,
            Some(idle) => idle * count + peer_load,
        };
        Node {
            eligible: self.may_receive(member)
                && !is_isolated
                && (is_me || has_room || self.leaves()),
            load,
            member,
        }
    }

    fn hot_pins(&self, own: &[(Unit, f64)], nodes: &[Node<'_>]) -> Vec<Unit> {
        if self.idle_load.is_none() {
            return Vec::new();
        }
        let total: f64 = nodes.iter().map(|node| node.load).sum();
        let share = total * self.my_part(nodes);
        own.iter()
            .filter(|(unit, load)| matches!(unit, Unit::Pinned { .. }) && is_hot(*load, share))
            .map(|(unit, _)| unit.clone())
            .collect()
    }

    fn my_part(&self, nodes: &[Node<'_>]) -> f64 {
        let slots: f64 = nodes
            .iter()
            .filter(|node| node.eligible)
            .map(|node| f64::from(node.member.join.slots))
            .sum();
        f64::from(self.me.join.slots) / slots.max(1.0)
    }

    /// Takes the member out of the plan, so that it gives all but its hot keys.
    fn isolate_hot(&self, nodes: &mut [Node<'_>], movable: &[(Unit, f64)]) {
        for node in nodes {
            if node.member.join.vm == self.me.join.vm {
                node.eligible = false;
                node.load = movable.iter().map(|(_, load)| load).sum();
            }
        }
    }

    /// Tells whether all loads are so near their shares that moves would only add churn.
    fn is_settled(&self, nodes: &[Node<'_>]) -> bool {
        if self.leaves() {
            return false;
        }
        let eligible = || nodes.iter().filter(|node| node.eligible);
        let total: f64 = nodes.iter().map(|node| node.load).sum();
        let slots: f64 = eligible()
            .map(|node| f64::from(node.member.join.slots))
            .sum();
        eligible().all(|node| {
            let share = total * f64::from(node.member.join.slots) / slots;
            let tolerance = self.view.tolerance;
            let low = tolerance.map_or(LOAD_ATTRACTION, |part| 1.0 - part);
            let high = tolerance.map_or(LOAD_TOLERANCE, |part| 1.0 + part);
            (low * share..=high * share).contains(&node.load)
        })
    }
}

/// Returns what a unit counts beyond its load, so that idle units are spread too.
///
/// Returns `None` while the loads of some members of the service are unknown.
fn idle_load(fleet: &Fleet, me: &Member, view: &LoadView) -> Option<f64> {
    let total = total_load(fleet, me, view).filter(|total| *total > 0.0)?;
    let count: usize = members_of(fleet, &me.join.service)
        .map(|member| fleet.units.keyed_count_of(&member.join.vm))
        .sum();
    Some(IDLE_PART * total / count.max(1) as f64)
}

fn is_keyed(unit: &Unit) -> bool {
    !matches!(unit, Unit::Bucket { .. })
}
