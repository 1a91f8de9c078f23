//! Choice of witnesses among the members of the roster.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use ids::Incarnation;
use ids::VmId;

use crate::Member;
use crate::roster::Roster;
use crate::witness_choice::WitnessCandidate;
use crate::witness_choice::choose_witnesses;
use crate::witness_choice::survives_zone_loss;

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
        let watched_counts = self.watched_counts(vm);
        let candidates: Vec<WitnessCandidate<'_>> = self
            .members
            .values()
            .filter(|other| other.join.region == member.join.region)
            .filter(|other| other.join.vm != *vm)
            .filter(|other| !supervision.was_suspected_by(&other.join.vm, other.incarnation))
            .map(|member| WitnessCandidate {
                member,
                watched_count: watched_counts
                    .get(&member.join.vm)
                    .copied()
                    .unwrap_or_default(),
            })
            .collect();
        choose_witnesses(member, &candidates)
    }

    /// Returns, for each witness, the number of members other than `vm` that it is a witness of.
    fn watched_counts(&self, vm: &VmId) -> BTreeMap<&VmId, usize> {
        let mut counts = BTreeMap::new();
        for member in self.members.values().filter(|member| member.join.vm != *vm) {
            for witness in &member.witnesses {
                *counts.entry(witness).or_default() += 1;
            }
        }
        counts
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
