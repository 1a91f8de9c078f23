//! Planning of which keys to pin and unpin.

use std::collections::BTreeMap;

use ids::ServiceId;
use ids::Unit;
use ids::VmId;

use crate::Fleet;
use crate::LoadView;
use crate::Member;
use crate::VersionRole;

/// Load of a pinned key relative to a fair share below which the key returns to its shard.
const COOL_SHARE_RATIO: f64 = 0.5;

/// Reports whether the load of one key exceeds a fair share by itself.
pub(crate) fn is_hot(load: f64, share: f64) -> bool {
    load > share
}

/// Plans which keys the member `me` pins: keys of its shards whose load alone exceeds a fair share.
///
/// `key_loads` holds the loads of the hottest keys of the member's service. No key is pinned, and
/// none returns to its shard, while the loads of some members of the service are unknown.
pub fn plan_pins(
    fleet: &Fleet,
    me: &VmId,
    view: &LoadView,
    key_loads: &BTreeMap<String, f64>,
) -> Vec<Unit> {
    let Some(member) = fleet.members().get(me) else {
        return Vec::new();
    };
    if fleet.version_role(member) == VersionRole::Trial {
        return Vec::new();
    }
    let service = &member.join.service;
    let Some(share) = fair_share(fleet, member, view) else {
        return Vec::new();
    };
    key_loads
        .iter()
        .filter(|(_, load)| is_hot(**load, share))
        .filter(|(key, _)| owns_shard(fleet, me, service, key))
        .map(|(key, _)| Unit::Pinned {
            service: service.clone(),
            key: key.clone(),
        })
        .filter(|unit| fleet.owner(unit).is_none())
        .collect()
}

/// Plans which pinned keys of the member `me` return to their shards, if it owns those too.
pub fn plan_unpins(fleet: &Fleet, me: &VmId, view: &LoadView) -> Vec<Unit> {
    cool_pins(fleet, me, view)
        .into_iter()
        .filter(|(_, shard_owner)| shard_owner == me)
        .map(|(unit, _)| unit)
        .collect()
}

/// Returns the pinned keys of a member that are no longer hot, with the owners of their shards.
pub(crate) fn cool_pins(fleet: &Fleet, me: &VmId, view: &LoadView) -> Vec<(Unit, VmId)> {
    let Some(member) = fleet.members().get(me) else {
        return Vec::new();
    };
    let Some(share) = fair_share(fleet, member, view) else {
        return Vec::new();
    };
    fleet
        .units_of(me)
        .filter_map(|(unit, _)| {
            let Unit::Pinned { service, key } = unit else {
                return None;
            };
            let load = *view.unit_loads.get(unit)?;
            let shard = fleet.shard_of(service, key)?;
            let owner = fleet.owner(&shard)?;
            (load < COOL_SHARE_RATIO * share).then(|| (unit.clone(), owner.vm.clone()))
        })
        .collect()
}

fn owns_shard(fleet: &Fleet, me: &VmId, service: &ServiceId, key: &str) -> bool {
    let shard = fleet.shard_of(service, key);
    shard
        .and_then(|shard| fleet.owner(&shard))
        .is_some_and(|owner| owner.vm == *me)
}

/// Returns the load of the member if the load of its service were distributed in proportion to capacities.
///
/// Returns `None` if the load of some members is unknown.
fn fair_share(fleet: &Fleet, me: &Member, view: &LoadView) -> Option<f64> {
    let total = service_load(fleet, me, view)?;
    let capacity: f64 = balanced_members(fleet, me)
        .filter(|member| view.is_candidate(fleet, member))
        .map(|member| view.capacity_of(member))
        .sum();
    Some(total * view.capacity_of(me) / capacity.max(1.0))
}

/// Returns the total load of a member's service, or `None` if the load of some members is unknown.
pub(crate) fn service_load(fleet: &Fleet, me: &Member, view: &LoadView) -> Option<f64> {
    if view.unit_loads.is_empty() {
        return None;
    }
    let own: f64 = view.unit_loads.values().sum();
    let peers: Option<f64> = balanced_members(fleet, me)
        .filter(|member| member.join.vm != me.join.vm)
        .map(|member| view.peer_loads.get(&member.join.vm).copied())
        .sum();
    Some(own + peers?)
}

/// Returns the members that load is balanced between: those of the service of `me` but the ones on trial, and `me`.
pub(crate) fn balanced_members<'a>(
    fleet: &'a Fleet,
    me: &'a Member,
) -> impl Iterator<Item = &'a Member> {
    service_members(fleet, &me.join.service).filter(move |member| {
        member.join.vm == me.join.vm || fleet.version_role(member) != VersionRole::Trial
    })
}

pub(crate) fn service_members<'a>(
    fleet: &'a Fleet,
    service: &ServiceId,
) -> impl Iterator<Item = &'a Member> {
    let members = fleet.members().values();
    members.filter(move |member| member.join.service == *service)
}
