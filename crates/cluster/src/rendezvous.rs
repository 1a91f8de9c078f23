//! Rendezvous hashing of units without regard to load.

use ids::Unit;
use ids::VmId;

use crate::Member;
use crate::rank::hash;
use crate::rank::rank;

/// Returns the member that ranks highest for a unit, weighted by slots.
///
/// A unit goes to this member when its owner is lost. Benchmarks and tests assign all units this way as the
/// baseline that planned moves are compared with.
pub fn rendezvous_owner<'a>(unit: &Unit, members: &[&'a Member]) -> Option<&'a VmId> {
    let subject = hash(&unit.to_string());
    members
        .iter()
        .map(|member| {
            let vm = &member.join.vm;
            (rank(subject, hash(vm), member.join.slots), vm)
        })
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, vm)| vm)
}
