//! Choice of the witnesses of a member.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use ids::VmId;
use ids::ZoneId;

use crate::Member;
use crate::Quorum;
use crate::rank::hash;
use crate::rank::rank;

/// Maximum number of witnesses of one member.
pub const MAX_WITNESSES: usize = 5;

/// Number of members that one witness may watch before it is chosen only after others.
const MAX_WATCHED_MEMBERS: usize = 2 * MAX_WITNESSES;

/// A member that may become a witness.
pub(crate) struct WitnessCandidate<'a> {
    pub(crate) member: &'a Member,
    /// Number of members that it is already a witness of.
    pub(crate) watched_count: usize,
}

/// Chooses the witnesses of a member among other members of its region.
///
/// Chooses the largest number of witnesses, up to five, with which the loss of any one zone ends
/// only the leases of its own members, and witnesses outside the zone can decide their loss. Each
/// other zone has at most as many witnesses as can be lost without preventing renewals, and the
/// member's own zone has none. With five witnesses that is at most two in each other zone. When a
/// zone is lost, a witness in the member's own zone would often be lost before the member, and
/// evidence from a lost witness makes the new owner wait two leases instead of one.
///
/// If the fleet is too small, or in too few zones, for even two such witnesses, then as many members
/// as exist, up to five, become witnesses, in any zones. The lease then survives the loss of single
/// members, but possibly not the loss of a zone.
///
/// Members that are already a witness of many members are chosen last, so that those that joined
/// while the fleet was small do not receive the heartbeats of all that joined later.
pub(crate) fn choose_witnesses(
    member: &Member,
    candidates: &[WitnessCandidate<'_>],
) -> BTreeSet<VmId> {
    let ranked = rank_candidates(member, candidates);
    (2..=MAX_WITNESSES)
        .rev()
        .find_map(|count| choose_across_zones(member, &ranked, count))
        .unwrap_or_else(|| {
            let first = ranked.iter().take(MAX_WITNESSES);
            first.map(|other| other.join.vm.clone()).collect()
        })
}

/// Reports whether enough witnesses of a member remain after the loss of any one zone.
pub(crate) fn survives_zone_loss(member: &Member, witnesses: &[&Member]) -> bool {
    choose_across_zones(member, witnesses, witnesses.len()).is_some()
}

fn rank_candidates<'a>(member: &Member, candidates: &[WitnessCandidate<'a>]) -> Vec<&'a Member> {
    let subject = hash(&member.join.vm);
    let mut ranked: Vec<(usize, f64, &Member)> = candidates
        .iter()
        .map(|other| {
            let excess = (other.watched_count + 1).saturating_sub(MAX_WATCHED_MEMBERS);
            let rank = rank(subject, hash(&other.member.join.vm), 1);
            (excess, rank, other.member)
        })
        .collect();
    ranked.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
    ranked.into_iter().map(|(_, _, other)| other).collect()
}

fn choose_across_zones(
    member: &Member,
    ranked: &[&Member],
    count: usize,
) -> Option<BTreeSet<VmId>> {
    let quorum = Quorum::of(count);
    let mut zones: BTreeMap<&ZoneId, usize> = BTreeMap::new();
    let mut chosen = BTreeSet::new();
    for other in ranked {
        if chosen.len() == count {
            break;
        }
        if other.join.zone == member.join.zone {
            continue;
        }
        let max_per_zone = count.saturating_sub(quorum.renewals);
        let taken = zones.entry(&other.join.zone).or_default();
        if *taken < max_per_zone {
            *taken += 1;
            chosen.insert(other.join.vm.clone());
        }
    }
    (chosen.len() == count).then_some(chosen)
}
