//! Exchange of member loads by gossip.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use cluster::Fleet;
use cluster::Member;
use ids::Incarnation;
use ids::VmId;
use wire::MemberLoads;

/// Maximum number of loads in one message.
const LOADS_PER_MESSAGE: usize = 64;

/// Time after its measurement at which a load is discarded.
const LOAD_EXPIRY: Duration = Duration::from_secs(60);

/// Maximum number of other members of the service that all get each load message. With more, one random member gets it.
pub(crate) const BROADCAST_PEERS: usize = 8;

/// Fraction of a service's slots that must be busy. Below it, loads are too noisy to balance by.
const MIN_UTILISATION: f64 = 0.1;

/// The load of one member.
#[derive(Clone, Copy, Debug)]
struct KnownLoad {
    busy_slots: f64,
    /// Number of slots that can be used if the upstream limits the rate of requests.
    capacity: Option<f64>,
    measured: Duration,
}

/// Known loads of members, exchanged with other members by gossip.
#[derive(Debug, Default)]
pub(crate) struct LoadExchange {
    /// Incarnation whose load was sent last. The next message continues after it, since not all loads fit into one.
    last_sent: Incarnation,
    known: BTreeMap<Incarnation, KnownLoad>,
    sequence: u64,
}

impl LoadExchange {
    /// Records the load of this process, and its capacity if the upstream limits the rate of requests.
    pub(crate) fn record_own_load(
        &mut self,
        now: Duration,
        me: Incarnation,
        busy_slots: f64,
        capacity: Option<f64>,
    ) {
        let known = KnownLoad {
            busy_slots,
            capacity,
            measured: now,
        };
        self.known.insert(me, known);
    }

    /// Merges the loads that another member sent. The newer measurement of each load wins.
    pub(crate) fn merge(&mut self, now: Duration, loads: &MemberLoads) {
        let capacities = loads.capacities.iter().map(|capacity| decode(*capacity));
        let capacities = capacities.chain(std::iter::repeat(None));
        let values = loads.slots_permille.iter().zip(&loads.ages_ms);
        let values = values.zip(capacities);
        for (member, ((permille, age_ms), capacity)) in loads.members.iter().zip(values) {
            let age = Duration::from_millis(*age_ms);
            let Some(measured) = now.checked_sub(age) else {
                continue;
            };
            let known = self.known.get(member);
            if known.is_none_or(|known| known.measured < measured) {
                let busy_slots = *permille as f64 / 1_000.0;
                let known = KnownLoad {
                    busy_slots,
                    capacity,
                    measured,
                };
                self.known.insert(*member, known);
            }
        }
    }

    /// Removes the loads of incarnations that have left the fleet, and loads that have expired.
    pub(crate) fn expire(&mut self, now: Duration, fleet: &Fleet) {
        let incarnations = fleet.members().values().map(|member| member.incarnation);
        let incarnations: BTreeSet<Incarnation> = incarnations.collect();
        self.known.retain(|incarnation, known| {
            incarnations.contains(incarnation) && now.saturating_sub(known.measured) < LOAD_EXPIRY
        });
    }

    /// Returns the next message for another member: the load of this process, and then the loads after the last one sent.
    pub(crate) fn next_message(&mut self, now: Duration, me: &Member) -> MemberLoads {
        let mut message = MemberLoads {
            vm: me.join.vm.clone(),
            incarnation: me.incarnation,
            sequence: self.sequence,
            ..MemberLoads::default()
        };
        self.sequence += 1;
        let own = self.known.get_key_value(&me.incarnation);
        let after_last = self.known.range(self.last_sent + 1..);
        let others = after_last.chain(self.known.range(..=self.last_sent));
        let others = others.filter(|(incarnation, _)| **incarnation != me.incarnation);
        for (incarnation, known) in own.into_iter().chain(others).take(LOADS_PER_MESSAGE) {
            let age = now.saturating_sub(known.measured).as_millis() + 1;
            message.members.push(*incarnation);
            message
                .slots_permille
                .push((known.busy_slots * 1_000.0) as u64);
            message.ages_ms.push(u64::try_from(age).unwrap_or(u64::MAX));
            message.capacities.push(encode(known.capacity));
        }
        if message.capacities.iter().all(|capacity| *capacity == 0) {
            message.capacities.clear();
        }
        self.last_sent = message.members.last().copied().unwrap_or_default();
        message
    }

    /// Returns the known loads of the other members of the service of `me`.
    pub(crate) fn peer_loads(&self, fleet: &Fleet, me: &Member) -> BTreeMap<VmId, f64> {
        other_members(fleet, me)
            .filter_map(|member| {
                let known = self.known.get(&member.incarnation)?;
                Some((member.join.vm.clone(), known.busy_slots))
            })
            .collect()
    }

    /// Returns the capacities of the members of the service of `me` whose upstreams limit the rate of requests, in slots.
    pub(crate) fn capacities(&self, fleet: &Fleet, me: &Member) -> BTreeMap<VmId, f64> {
        other_members(fleet, me)
            .chain([me])
            .filter_map(|member| {
                let capacity = self.known.get(&member.incarnation)?.capacity?;
                Some((member.join.vm.clone(), capacity))
            })
            .collect()
    }

    /// Reports whether the service is busy enough to balance by loads, which are noise otherwise.
    pub(crate) fn is_service_busy(&self, fleet: &Fleet, me: &Member) -> bool {
        let members = || other_members(fleet, me).chain([me]);
        let slots: u32 = members().map(|member| member.join.slots).sum();
        let busy: f64 = members()
            .filter_map(|member| self.known.get(&member.incarnation))
            .map(|known| known.busy_slots)
            .sum();
        busy >= MIN_UTILISATION * f64::from(slots)
    }
}

/// Encodes a capacity as [`MemberLoads::capacities`] defines it.
fn encode(capacity: Option<f64>) -> u64 {
    capacity.map_or(0, |capacity| {
        ((capacity * 1_000.0) as u64).saturating_add(1)
    })
}

/// Decodes a capacity that [`encode`] returned.
fn decode(capacity: u64) -> Option<f64> {
    Some(capacity.checked_sub(1)? as f64 / 1_000.0)
}

/// Returns the addresses of the members of the same service to send loads to: all up to [`BROADCAST_PEERS`] members,
/// otherwise one, selected by the random number `choice`.
pub(crate) fn recipients(fleet: &Fleet, me: &Member, choice: usize) -> Vec<SocketAddr> {
    let count = peer_count(fleet, me);
    let addresses = other_members(fleet, me).map(|member| member.join.peer);
    if count <= BROADCAST_PEERS {
        return addresses.collect();
    }
    addresses.skip(choice % count).take(1).collect()
}

/// Returns the number of other members of the same service.
pub(crate) fn peer_count(fleet: &Fleet, me: &Member) -> usize {
    other_members(fleet, me).count()
}

fn other_members<'a>(fleet: &'a Fleet, me: &'a Member) -> impl Iterator<Item = &'a Member> {
    let members = fleet.members().values();
    members
        .filter(|member| member.join.service == me.join.service)
        .filter(|member| member.join.vm != me.join.vm)
}
