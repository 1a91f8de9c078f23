//! Knowledge of the loads of members, which spreads from one to another.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use cluster::Fleet;
use cluster::Member;
use ids::Incarnation;
use ids::VmId;
use wire::MemberLoads;

/// Largest number of loads in one message.
const LOADS_PER_MESSAGE: usize = 64;

/// Time after which a load no longer counts as known.
const EXPIRY: Duration = Duration::from_secs(60);

/// Other members of a service up to which each tells its load to all of them.
pub(crate) const FEW_PEERS: usize = 8;

/// Part of all slots of a service below which loads say too little to balance by them.
const LEAST_UTILISATION: f64 = 0.1;

/// The load of one member.
#[derive(Clone, Copy, Debug)]
struct Known {
    busy_slots: f64,
    measured: Duration,
}

/// Knowledge of the loads of members, which each passes on to one other at a time.
#[derive(Debug, Default)]
pub(crate) struct LoadExchange {
    /// Life whose load was passed on last, since not all loads fit into one message.
    last: Incarnation,
    known: BTreeMap<Incarnation, Known>,
    sequence: u64,
}

impl LoadExchange {
    /// Notes the load of this process.
    pub(crate) fn measured(&mut self, now: Duration, me: Incarnation, busy_slots: f64) {
        let known = Known {
            busy_slots,
            measured: now,
        };
        self.known.insert(me, known);
    }

    /// Takes in what another member knows, where that is newer.
    pub(crate) fn heard(&mut self, now: Duration, loads: &MemberLoads) {
        let values = loads.slots_permille.iter().zip(&loads.ages_ms);
        for (member, (permille, age_ms)) in loads.members.iter().zip(values) {
            let age = Duration::from_millis(*age_ms);
            let Some(measured) = now.checked_sub(age) else {
                continue;
            };
            let known = self.known.get(member);
            if known.is_none_or(|known| known.measured < measured) {
                let busy_slots = *permille as f64 / 1_000.0;
                let known = Known {
                    busy_slots,
                    measured,
                };
                self.known.insert(*member, known);
            }
        }
    }

    /// Forgets members that have ended, and loads that were measured long ago.
    pub(crate) fn expire(&mut self, now: Duration, fleet: &Fleet) {
        let lives = fleet.members().values().map(|member| member.incarnation);
        let lives: BTreeSet<Incarnation> = lives.collect();
        self.known.retain(|life, known| {
            lives.contains(life) && now.saturating_sub(known.measured) < EXPIRY
        });
    }

    /// Returns the message for another member.
    pub(crate) fn message(&mut self, now: Duration, me: &Member) -> MemberLoads {
        let mut message = MemberLoads {
            vm: me.join.vm.clone(),
            incarnation: me.incarnation,
            sequence: self.sequence,
            ..MemberLoads::default()
        };
        self.sequence += 1;
        let own = self.known.get_key_value(&me.incarnation);
        let behind = self.known.range(self.last + 1..);
        let others = behind.chain(self.known.range(..=self.last));
        let others = others.filter(|(life, _)| **life != me.incarnation);
        for (life, known) in own.into_iter().chain(others).take(LOADS_PER_MESSAGE) {
            let age = now.saturating_sub(known.measured).as_millis() + 1;
            message.members.push(*life);
            message
                .slots_permille
                .push((known.busy_slots * 1_000.0) as u64);
            message.ages_ms.push(u64::try_from(age).unwrap_or(u64::MAX));
        }
        self.last = message.members.last().copied().unwrap_or_default();
        message
    }

    /// Returns the loads of the other members of the service of `me`, as far as they are known.
    pub(crate) fn peers(&self, fleet: &Fleet, me: &Member) -> BTreeMap<VmId, f64> {
        others(fleet, me)
            .filter_map(|member| {
                let known = self.known.get(&member.incarnation)?;
                Some((member.join.vm.clone(), known.busy_slots))
            })
            .collect()
    }

    /// Tells whether the service is busy enough for loads to be more than noise.
    pub(crate) fn is_telling(&self, fleet: &Fleet, me: &Member) -> bool {
        let members = || others(fleet, me).chain([me]);
        let slots: u32 = members().map(|member| member.join.slots).sum();
        let busy: f64 = members()
            .filter_map(|member| self.known.get(&member.incarnation))
            .map(|known| known.busy_slots)
            .sum();
        busy >= LEAST_UTILISATION * f64::from(slots)
    }
}

/// Returns the members of the same service to pass loads on to: all if they are few, and otherwise one, chosen by the
/// random number `choice`.
pub(crate) fn recipients(fleet: &Fleet, me: &Member, choice: usize) -> Vec<SocketAddr> {
    let count = peer_count(fleet, me);
    let addresses = others(fleet, me).map(|member| member.join.peer);
    if count <= FEW_PEERS {
        return addresses.collect();
    }
    addresses.skip(choice % count).take(1).collect()
}

/// Returns the number of other members of the same service.
pub(crate) fn peer_count(fleet: &Fleet, me: &Member) -> usize {
    others(fleet, me).count()
}

fn others<'a>(fleet: &'a Fleet, me: &'a Member) -> impl Iterator<Item = &'a Member> {
    let members = fleet.members().values();
    members
        .filter(|member| member.join.service == me.join.service)
        .filter(|member| member.join.vm != me.join.vm)
}
