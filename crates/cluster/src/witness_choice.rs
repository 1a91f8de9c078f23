//! Choice of the witnesses of a member.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use ids::VmId;
use ids::ZoneId;

use crate::Member;
use crate::Quorum;
use crate::rank::hash;
use crate::rank::rank;

/// Most witnesses of one member.
pub const MAX_WITNESSES: usize = 5;

/// Members that one witness has, above which it is chosen last.
const MAX_WATCHED_MEMBERS: usize = 2 * MAX_WITNESSES;

/// A member that may become a witness.
pub(crate) struct WitnessCandidate<'a> {
    pub(crate) member: &'a Member,
    /// Number of members that it is a witness of.
    pub(crate) watched: usize,
}

/// Chooses the witnesses of a member among others of its region.
///
/// The largest number of up to five witnesses is taken with which the loss of any one zone ends
/// nobody's lease and can be certified from outside: of each other zone at most as many as
/// renewals can do without, of the member's own zone none. With five that is two of each other zone.
/// A witness of the own zone would often be lost before the member when the zone is, and evidence from
/// a lost witness costs the heir two leases in place of one. A fleet that is too small, or in too few zones,
/// for even two such witnesses gets as many as there are, in any zones: the loss of single
/// members is then survived, the loss of a zone may not be.
///
/// Members that are a witness of many come last, so that those that joined a small fleet do not
/// carry the heartbeats of everybody who joined later.
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

/// Tells whether the loss of any one zone leaves enough witnesses of a member.
pub(crate) fn survives_zone_loss(member: &Member, witnesses: &[&Member]) -> bool {
    choose_across_zones(member, witnesses, witnesses.len()).is_some()
}

fn rank_candidates<'a>(member: &Member, candidates: &[WitnessCandidate<'a>]) -> Vec<&'a Member> {
    let subject = hash(&member.join.vm);
    let mut ranked: Vec<(usize, f64, &Member)> = candidates
        .iter()
        .map(|other| {
            let excess = (other.watched + 1).saturating_sub(MAX_WATCHED_MEMBERS);
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
        let most = count.saturating_sub(quorum.renewals);
        let taken = zones.entry(&other.join.zone).or_default();
        if *taken < most {
            *taken += 1;
            chosen.insert(other.join.vm.clone());
        }
    }
    (chosen.len() == count).then_some(chosen)
}
