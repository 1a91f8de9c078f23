//! Roll-outs of versions of upstreams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use ids::ServiceId;
use ids::VmId;
use ids::ZoneId;

use crate::Fleet;
use crate::Member;
use crate::Rollout;
use crate::VersionRole;
use crate::rank::hash;
use crate::rank::rank;

/// Maximum number of members that decide on one roll-out. Two remain when one is lost.
const MAX_DECIDERS: usize = 3;

impl Fleet {
    /// Returns the last roll-out of a service.
    pub fn rollout(&self, service: &str) -> Option<&Rollout> {
        self.rollouts.get(service)
    }

    /// Returns the last roll-out of each service.
    pub fn rollouts(&self) -> &BTreeMap<ServiceId, Rollout> {
        &self.rollouts
    }

    /// Returns what a member gets, by the version of its upstream.
    pub fn version_role(&self, member: &Member) -> VersionRole {
        let rollout = self.rollout(&member.join.service);
        rollout.map_or(VersionRole::Current, |rollout| {
            rollout.version_role(&member.join.version)
        })
    }

    /// Returns the members that decide on the roll-out of a service, at most three, or none if it has no roll-out.
    ///
    /// Members that are in service and don't have the target version come first, since a faulty version can overload its
    /// machine. The deciders are in different zones as far as possible. They do not depend on the state of the roll-out,
    /// so that a promotion leaves the evidence where it is.
    pub fn rollout_deciders(&self, service: &str) -> Vec<&VmId> {
        let Some(rollout) = self.rollout(service) else {
            return Vec::new();
        };
        let order = &rollout.order;
        let subject = hash(&format!("rollout:{service}:{}", order.position));
        let is_preferred = |member: &Member| {
            let join = &member.join;
            let has_target = join.service == service && join.version == order.target_version;
            !has_target && !self.is_zone_out(&join.zone) && !self.is_drained(&join.vm)
        };
        let mut ranked: Vec<(bool, f64, &Member)> = self
            .members()
            .values()
            .map(|member| {
                let rank = rank(subject, hash(&member.join.vm), 1);
                (is_preferred(member), rank, member)
            })
            .collect();
        ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| b.1.total_cmp(&a.1)));
        spread_over_zones(&ranked)
    }
}

/// Returns the first members of a ranking, one of each zone before any second one. Preferred members precede others.
fn spread_over_zones<'a>(ranked: &[(bool, f64, &'a Member)]) -> Vec<&'a VmId> {
    let mut zones: BTreeSet<&ZoneId> = BTreeSet::new();
    let mut keyed: Vec<(bool, bool, &VmId)> = ranked
        .iter()
        .map(|(is_preferred, _, member)| {
            let is_second = !zones.insert(&member.join.zone);
            (!is_preferred, is_second, &member.join.vm)
        })
        .collect();
    // The sort is stable, so members are ranked among those that are alike.
    keyed.sort_by_key(|(is_other, is_second, _)| (*is_other, *is_second));
    let deciders = keyed.into_iter().map(|(_, _, vm)| vm);
    deciders.take(MAX_DECIDERS).collect()
}
