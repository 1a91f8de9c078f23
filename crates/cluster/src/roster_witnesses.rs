//! Choice of witnesses among the members of the roster.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use ids::Incarnation;
use ids::Offset;
use ids::VmId;

use crate::Member;
use crate::roster::Roster;
use crate::supervision::Supervision;
use crate::witness_choice::WitnessCandidate;
use crate::witness_choice::choose_witnesses;
use crate::witness_choice::survives_zone_loss;

/// Smallest number of preferred candidates. A single witness would end each member that it alone can't reach.
const MIN_SUBSTITUTES: usize = 2;

impl Roster {
    /// Reports whether a `Rewitness` record would improve the witnesses of a member.
    pub(crate) fn needs_rewitness(&self, vm: &VmId) -> bool {
        let (Some(member), Some(supervision)) = (self.members.get(vm), self.supervisions.get(vm))
        else {
            return false;
        };
        let current = supervision.current.witnesses.len();
        if supervision.has_former() || supervision.current.renewing_count() < current {
            return true;
        }
        let chosen = self.choose_witnesses_of(vm);
        chosen.len() > current
            || (self.survives_zone_loss(member, &chosen)
                && !self.survives_zone_loss(member, &member.witnesses))
    }

    fn survives_zone_loss(&self, member: &Member, witnesses: &BTreeSet<VmId>) -> bool {
        let witnesses: Vec<&Member> = witnesses
            .iter()
            .filter_map(|vm| self.members.get(vm))
            .collect();
        survives_zone_loss(member, &witnesses)
    }

    /// Returns the witnesses that would be chosen for a member now.
    pub(crate) fn choose_witnesses_of(&self, vm: &VmId) -> BTreeSet<VmId> {
        let (Some(member), Some(supervision)) = (self.members.get(vm), self.supervisions.get(vm))
        else {
            return BTreeSet::new();
        };
        let others = self.possible_witnesses(member, supervision);
        choose_witnesses(member, &self.as_candidates(vm, others))
    }

    /// Names new witnesses for each member whose witnesses can't renew its lease any more, and returns these members.
    ///
    /// A member that is gone does not request any, and the processes that watched it have ended.
    pub(crate) fn name_substitutes(&mut self, offset: Offset) -> Vec<VmId> {
        let supervisions = self.supervisions.iter();
        let unwatched = supervisions.filter(|(_, supervision)| !supervision.can_renew());
        let mut unwatched: Vec<VmId> = unwatched.map(|(vm, _)| vm.clone()).collect();
        unwatched.retain(|vm| {
            let witnesses = self.choose_substitutes_of(vm);
            let are_named = !witnesses.is_empty();
            if are_named {
                self.set_witnesses(offset, vm, &witnesses);
            }
            are_named
        });
        unwatched
    }

    /// Returns the new witnesses of a member whose witnesses can't renew its lease any more.
    ///
    /// Prefers later incarnations of the former witnesses, which the member still sends heartbeats to, and then members
    /// that joined after the former witnesses were named. Others may have been lost together with the member.
    fn choose_substitutes_of(&self, vm: &VmId) -> BTreeSet<VmId> {
        let (Some(member), Some(supervision)) = (self.members.get(vm), self.supervisions.get(vm))
        else {
            return BTreeSet::new();
        };
        let others = self.possible_witnesses(member, supervision);
        let returned =
            |other: &Member| supervision.includes_earlier(&other.join.vm, other.incarnation);
        let joined_since = |other: &Member| other.incarnation > supervision.current.named_at;
        let groups: [&dyn Fn(&Member) -> bool; 2] = [&returned, &joined_since];
        let mut preferred = groups.into_iter().map(|includes| {
            let members = others.iter().copied().filter(|other| includes(other));
            members.collect::<Vec<_>>()
        });
        let preferred = preferred.find(|group| group.len() >= MIN_SUBSTITUTES);
        let candidates = self.as_candidates(vm, preferred.unwrap_or(others));
        choose_witnesses(member, &candidates)
    }

    /// Returns the members that may become witnesses of a member.
    fn possible_witnesses(&self, member: &Member, supervision: &Supervision) -> Vec<&Member> {
        self.members
            .values()
            .filter(|other| other.join.region == member.join.region)
            .filter(|other| other.join.vm != member.join.vm)
            .filter(|other| !supervision.was_suspected_by(&other.join.vm, other.incarnation))
            .collect()
    }

    /// Adds to members the number of others than `vm` that they watch.
    fn as_candidates<'a>(
        &'a self,
        vm: &VmId,
        members: Vec<&'a Member>,
    ) -> Vec<WitnessCandidate<'a>> {
        let candidates = members.into_iter().map(|member| {
            let candidate = WitnessCandidate {
                member,
                watched_count: 0,
            };
            (&member.join.vm, candidate)
        });
        let mut candidates: BTreeMap<&VmId, WitnessCandidate<'_>> = candidates.collect();
        for member in self.members.values().filter(|member| member.join.vm != *vm) {
            for witness in &member.witnesses {
                if let Some(candidate) = candidates.get_mut(witness) {
                    candidate.watched_count += 1;
                }
            }
        }
        candidates.into_values().collect()
    }

    pub(crate) fn with_incarnations(
        &self,
        witnesses: &BTreeSet<VmId>,
    ) -> BTreeMap<VmId, Incarnation> {
        witnesses
            .iter()
            .filter_map(|vm| Some((vm.clone(), self.members.get(vm)?.incarnation)))
            .collect()
    }
}
