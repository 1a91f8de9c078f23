//! Planning of which units go to members on trial.

use std::collections::BTreeMap;

use ids::ServiceId;
use ids::Unit;
use ids::VmId;

use crate::Fleet;
use crate::LoadView;
use crate::Member;
use crate::RolloutState;
use crate::VersionRole;
use crate::plan_moves::mean_service_load;
use crate::plan_pins::service_members;
use crate::planner::Planner;
use crate::rank::hash;
use crate::rank::rank;

/// Load relative to the mean load of the owner's units above which a unit is not given to a trial. The share of a trial is
/// counted in units, and such a unit would exceed it by far.
const MAX_TRIAL_LOAD_RATIO: f64 = 3.0;

/// Plans which units the member `me` moves because of a trial: its units on trial to the members that they are assigned to,
/// and if it is on trial itself, all other units to members of the versions in force.
///
/// These moves are part of `plan_moves`. They can be planned more often than moves that balance load.
pub fn plan_trial_moves(fleet: &Fleet, me: &VmId, view: &LoadView) -> Vec<(VmId, Vec<Unit>)> {
    let Some(planner) = Planner::new(fleet, me, view) else {
        return Vec::new();
    };
    let mut moves = planner.moves_to_trial();
    if planner.is_on_trial() {
        let returned = planner.plan_keyed_moves();
        let room = view.budget.saturating_sub(count(&moves));
        moves.extend(apply_budget(returned, room));
    }
    moves
}

/// Returns the members on trial that units of a service are assigned to, by unit.
///
/// The units are those of `Fleet::trial_units`. They are assigned in that order to the first members by hash, and each of
/// these gets about as many as a member of the versions in force has. A larger share leaves most units where they are.
pub(crate) fn assign_trial_units(
    fleet: &Fleet,
    service: &ServiceId,
    share: f64,
    may_receive: impl Fn(&Member) -> bool,
) -> BTreeMap<Unit, VmId> {
    let Some(rollout) = fleet.rollout(service) else {
        return BTreeMap::new();
    };
    let units = fleet.trial_units(service, share);
    let subject = trial_subject(service, rollout.order.position);
    let of_role = |role| {
        let members = service_members(fleet, service);
        let may_receive = &may_receive;
        members.filter(move |member| fleet.version_role(member) == role && may_receive(member))
    };
    let mut receivers: Vec<(f64, &VmId)> = of_role(VersionRole::Trial)
        .map(|member| (rank(subject, hash(&member.join.vm), 1), &member.join.vm))
        .collect();
    if receivers.is_empty() {
        return BTreeMap::new();
    }
    receivers.sort_by(|a, b| b.0.total_cmp(&a.0));
    let owners = of_role(VersionRole::Current).count().max(1);
    let usual = fleet.shard_count(service) as f64 / owners as f64;
    let wanted = (units.len() as f64 / usual.max(1.0)).round() as usize;
    let count = wanted.clamp(1, receivers.len());
    let block = match wanted > count {
        true => units.len().div_ceil(count),
        false => usual.round().max(1.0) as usize,
    };
    let owner_of = |index: usize| receivers[(index / block).min(count - 1)].1.clone();
    let indexed = units.into_iter().enumerate();
    indexed
        .map(|(index, unit)| (unit, owner_of(index)))
        .collect()
}

/// Returns the load above which a unit of a member is not given to a trial, or is moved back from it: a multiple of the mean
/// load of the member's shards.
///
/// The few units of a member on trial may have a far lower mean than those of the member that gave them. If the loads of all
/// members are known, the mean of the service therefore bounds the limit from above where units are given, and from below
/// where they are moved back, so that no unit goes to and fro.
pub(crate) fn trial_load_limit(fleet: &Fleet, me: &Member, view: &LoadView) -> f64 {
    let units = fleet.units_of(&me.join.vm).map(|(unit, _)| unit);
    let shards = units.filter(|unit| matches!(unit, Unit::Shard { .. }));
    let loads = shards.map(|shard| view.unit_loads.get(shard).copied().unwrap_or(0.0));
    let (count, total) = loads.fold((0_u32, 0.0), |(count, total), load| {
        (count + 1, total + load)
    });
    let own = total / f64::from(count.max(1));
    let mean = match mean_service_load(fleet, me, view) {
        Some(mean) if fleet.version_role(me) == VersionRole::Trial => own.max(mean),
        Some(mean) => own.min(mean),
        None => own,
    };
    MAX_TRIAL_LOAD_RATIO * mean
}

fn trial_subject(service: &str, position: u64) -> u64 {
    hash(&format!("trial:{service}:{position}"))
}

fn count(moves: &[(VmId, Vec<Unit>)]) -> usize {
    moves.iter().map(|(_, units)| units.len()).sum()
}

/// Limits the moves to `budget` units, in proportion to the units of each receiver.
///
/// Without this limit, outdated loads could make one member receive too much.
pub(crate) fn apply_budget(
    moves: BTreeMap<VmId, Vec<Unit>>,
    budget: usize,
) -> Vec<(VmId, Vec<Unit>)> {
    let total: usize = moves.values().map(Vec::len).sum();
    let mut remaining = budget;
    let mut limited = Vec::new();
    for (to, mut units) in moves {
        if total > budget {
            units.truncate((units.len() * budget).div_ceil(total).min(remaining));
        }
        remaining -= units.len().min(remaining);
        if !units.is_empty() {
            limited.push((to, units));
        }
    }
    limited
}

impl Fleet {
    /// Returns the shards of a service that are on trial at a share, from 0 to 1: the first ones in the order of a hash of the
    /// shard and the order of the roll-out. None unless a trial runs.
    ///
    /// They depend on nothing else, so that they are the same at every process, and those of a smaller share are among
    /// those of a larger one. Pinned keys are never on trial, since each has the load of many shards.
    pub fn trial_units(&self, service: &ServiceId, share: f64) -> Vec<Unit> {
        let rollout = self.rollout(service);
        let Some(rollout) = rollout.filter(|rollout| rollout.state == RolloutState::Trial) else {
            return Vec::new();
        };
        let shards = self.shard_count(service);
        let subject = trial_subject(service, rollout.order.position);
        let mut ranked: Vec<(f64, u32)> = (0..shards)
            .map(|index| (rank(subject, u64::from(index), 1), index))
            .collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        let count = (share.clamp(0.0, 1.0) * f64::from(shards)) as usize;
        let first = ranked.into_iter().take(count);
        first
            .map(|(_, index)| Unit::Shard {
                service: service.clone(),
                index,
            })
            .collect()
    }

    fn shard_count(&self, service: &str) -> u32 {
        let declared = self.plans().services.get(service);
        declared.map_or(0, |declared| declared.shards)
    }
}

impl Planner<'_> {
    /// Reports whether the member is on trial.
    pub(crate) fn is_on_trial(&self) -> bool {
        self.fleet.version_role(self.me) == VersionRole::Trial
    }

    /// Returns the member on trial that a unit of this member is given to, or that keeps it.
    pub(crate) fn trial_owner(&self, unit: &Unit) -> Option<&VmId> {
        let owner = self.trial_units.get(unit)?;
        let load = self.view.unit_loads.get(unit).copied().unwrap_or(0.0);
        (load <= self.trial_load_limit).then_some(owner)
    }

    /// Returns the units that the member moves to members on trial, within its budget.
    pub(crate) fn moves_to_trial(&self) -> Vec<(VmId, Vec<Unit>)> {
        let me = &self.me.join.vm;
        let mut moves: BTreeMap<VmId, Vec<Unit>> = BTreeMap::new();
        for unit in self.trial_units.keys() {
            let is_own = self.fleet.owner(unit).is_some_and(|owner| owner.vm == *me);
            if is_own && let Some(to) = self.trial_owner(unit).filter(|to| *to != me) {
                moves.entry(to.clone()).or_default().push(unit.clone());
            }
        }
        apply_budget(moves, self.view.budget)
    }
}
