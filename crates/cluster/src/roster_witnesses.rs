//! Which members of the roster are witnesses of which.

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
    /// Tells whether a `Rewitness` would improve the witnesses of a member.
    pub(crate) fn needs_rewitness(&self, vm: &VmId) -> bool {
        let (Some(member), Some(supervision)) = (self.members.get(vm), self.supervisions.get(vm))
        else {
            return false;
        };
        let present = supervision.current.witnesses.len();
        if supervision.has_former() || supervision.current.renewing_count() < present {
            return true;
        }
        let chosen = self.choose_witnesses_of(vm);
        chosen.len() > present
            || (self.survives(member, &chosen) && !self.survives(member, &member.witnesses))
    }

    fn survives(&self, member: &Member, witnesses: &BTreeSet<VmId>) -> bool {
        let witnesses: Vec<&Member> = witnesses
            .iter()
            .filter_map(|vm| self.members.get(vm))
            .collect();
        survives_zone_loss(member, &witnesses)
    }

    pub(crate) fn choose_witnesses_of(&self, vm: &VmId) -> BTreeSet<VmId> {
        let (Some(member), Some(supervision)) = (self.members.get(vm), self.supervisions.get(vm))
        else {
            return BTreeSet::new();
        };
        let watched = self.watched_counts(vm);
        let others: Vec<WitnessCandidate<'_>> = self
            .members
            .values()
            .filter(|other| other.join.region == member.join.region)
            .filter(|other| other.join.vm != *vm)
            .filter(|other| !supervision.was_suspected_by(&other.join.vm, other.incarnation))
            .map(|member| WitnessCandidate {
                member,
                watched: watched.get(&member.join.vm).copied().unwrap_or_default(),
            })
            .collect();
        choose_witnesses(member, &others)
    }

    /// Returns how many members other than `vm` each witness has.
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
