//! Members of the fleet and the evidence that ends their leases.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use ids::Incarnation;
use ids::Offset;
use ids::RegionId;
use ids::VmId;

use crate::Change;
use crate::EndReason;
use crate::Join;
use crate::Member;
use crate::Suspicion;
use crate::evidence::Evidence;
use crate::supervision::LeaseEnd;
use crate::supervision::Supervision;
use crate::timing::LEASE_MS;
use crate::timing::full_wait_ms;

/// Members of the fleet, each with its witnesses and their evidence about its lease.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Roster {
    pub(crate) members: BTreeMap<VmId, Member>,
    pub(crate) supervisions: BTreeMap<VmId, Supervision>,
}

/// A member whose membership a record has ended.
pub(crate) struct EndedMember {
    pub(crate) incarnation: Incarnation,
    pub(crate) reason: EndReason,
    pub(crate) region: RegionId,
    pub(crate) vm: VmId,
    /// Time that new owners of its units wait for the lease to expire, in milliseconds.
    pub(crate) wait_ms: u64,
}

/// End of a member, as it concerns the members that it is a witness of.
#[derive(Clone, Copy)]
enum WitnessEnd {
    /// The witness has stopped.
    Gone,
    /// The witness may be in contact with its own witnesses, and renew leases, for at most this time
    /// in milliseconds.
    Lost(u64),
}

impl WitnessEnd {
    fn evidence(self, lease_ms: u64) -> Evidence {
        match self {
            Self::Gone => Evidence::Gone(full_wait_ms(lease_ms)),
            Self::Lost(contact_wait_ms) => Evidence::Lost(contact_wait_ms + full_wait_ms(lease_ms)),
        }
    }
}

impl Roster {
    fn full_wait_ms(&self, vm: &str) -> u64 {
        let member = self.members.get(vm);
        full_wait_ms(member.map_or(LEASE_MS, |member| member.join.lease_ms))
    }

    pub(crate) fn members(&self) -> &BTreeMap<VmId, Member> {
        &self.members
    }

    /// Returns a member if `incarnation` is its current one.
    pub(crate) fn current_member(&self, vm: &str, incarnation: Incarnation) -> Option<&Member> {
        let member = self.members.get(vm)?;
        (member.incarnation == incarnation).then_some(member)
    }

    pub(crate) fn supervision(&self, vm: &str) -> Option<&Supervision> {
        self.supervisions.get(vm)
    }

    /// Restores a member from a snapshot.
    pub(crate) fn restore(
        &mut self,
        incarnation: Incarnation,
        join: Join,
        supervision: Supervision,
    ) {
        let vm = join.vm.clone();
        let member = Member {
            incarnation,
            join,
            witnesses: BTreeSet::new(),
            witnesses_since: 0,
        };
        self.members.insert(vm.clone(), member);
        self.supervisions.insert(vm.clone(), supervision);
        self.copy_witnesses(&vm);
    }

    pub(crate) fn join(&mut self, offset: Offset, join: Join) {
        let vm = join.vm.clone();
        let member = Member {
            incarnation: offset,
            join,
            witnesses: BTreeSet::new(),
            witnesses_since: offset,
        };
        self.members.insert(vm.clone(), member);
        self.supervisions.insert(vm.clone(), Supervision::default());
        let witnesses = self.choose_witnesses_of(&vm);
        let supervision = Supervision::new(offset, self.with_incarnations(&witnesses));
        self.supervisions.insert(vm.clone(), supervision);
        self.copy_witnesses(&vm);
    }

    /// Ends the members whose VM or peer address a new process has, which shows that their processes have stopped.
    pub(crate) fn end_replaced(&mut self, join: &Join) -> Vec<EndedMember> {
        let replaced: Vec<VmId> = self
            .members
            .values()
            .filter(|member| member.join.vm == join.vm || member.join.peer == join.peer)
            .map(|member| member.join.vm.clone())
            .collect();
        let mut ended = Vec::new();
        for vm in replaced {
            ended.extend(self.end_member(&vm, EndReason::Replaced));
        }
        self.add_end_of_all_incarnations(&join.vm, &mut ended);
        ended
    }

    /// Adds the end of all incarnations of a witness as evidence, also of those that were lost earlier without evidence
    /// of when they stop renewing.
    fn add_end_of_all_incarnations(&mut self, witness: &VmId, ended: &mut Vec<EndedMember>) {
        self.add_to_watched(ended, |supervision, lease_ms| {
            supervision
                .add_evidence_of_all_incarnations(witness, WitnessEnd::Gone.evidence(lease_ms))
        });
    }

    /// Ends a member whose process has stopped, and every member that is lost as a consequence.
    pub(crate) fn end_member(&mut self, vm: &VmId, reason: EndReason) -> Vec<EndedMember> {
        let wait_ms = match reason {
            // The upstream may hold grants until the lease ends.
            EndReason::DeclaredLost | EndReason::Replaced => self.full_wait_ms(vm),
            EndReason::Left | EndReason::Lost => 0,
        };
        let mut ended = Vec::new();
        self.remove(vm, reason, wait_ms, Some(WitnessEnd::Gone), &mut ended);
        ended
    }

    /// Adds the suspicions of one witness, and ends the members that are lost by them.
    pub(crate) fn add_suspicions(
        &mut self,
        witness: &VmId,
        incarnation: Incarnation,
        suspicions: &[Suspicion],
        changes: &mut Vec<Change>,
    ) -> Vec<EndedMember> {
        let mut ended = Vec::new();
        for suspicion in suspicions {
            if self.current_member(witness, incarnation).is_none() {
                break;
            }
            if self
                .current_member(&suspicion.vm, suspicion.incarnation)
                .is_none()
            {
                continue;
            }
            let wait_ms = self
                .full_wait_ms(&suspicion.vm)
                .saturating_sub(suspicion.last_renewed_ago_ms);
            let evidence = Evidence::Suspected(wait_ms);
            if self.add_evidence(&suspicion.vm, witness, incarnation, evidence) {
                changes.push(Change::Suspected {
                    by: witness.clone(),
                    vm: suspicion.vm.clone(),
                });
                self.end_if_lost(&suspicion.vm, &mut ended);
            }
        }
        ended
    }

    /// Names new witnesses for a member, or releases its former ones.
    pub(crate) fn replace_witnesses(&mut self, offset: Offset, vm: &VmId) {
        self.set_witnesses(offset, vm, &self.choose_witnesses_of(vm));
    }

    /// Names these witnesses for a member, or releases its former ones.
    pub(crate) fn set_witnesses(&mut self, offset: Offset, vm: &VmId, witnesses: &BTreeSet<VmId>) {
        let witnesses = self.with_incarnations(witnesses);
        if let Some(supervision) = self.supervisions.get_mut(vm) {
            supervision.replace_witnesses(offset, witnesses);
        }
        self.copy_witnesses(vm);
    }

    fn copy_witnesses(&mut self, vm: &VmId) {
        if let (Some(member), Some(supervision)) =
            (self.members.get_mut(vm), self.supervisions.get(vm))
        {
            member.witnesses = supervision.current.witnesses.keys().cloned().collect();
            member.witnesses_since = supervision.current.named_at;
        }
    }

    fn add_evidence(
        &mut self,
        vm: &VmId,
        witness: &VmId,
        incarnation: Incarnation,
        evidence: Evidence,
    ) -> bool {
        self.supervisions
            .get_mut(vm)
            .is_some_and(|supervision| supervision.add_evidence(witness, incarnation, evidence))
    }

    /// Ends a member if the evidence of its witnesses shows that its lease is over.
    fn end_if_lost(&mut self, vm: &VmId, ended: &mut Vec<EndedMember>) {
        let Some(lease_end) = self.supervisions.get(vm).and_then(Supervision::lease_end) else {
            return;
        };
        let LeaseEnd {
            contact_wait_ms,
            lease_wait_ms,
        } = lease_end;
        let witness_end = contact_wait_ms.map(WitnessEnd::Lost);
        self.remove(vm, EndReason::Lost, lease_wait_ms, witness_end, ended);
    }

    fn remove(
        &mut self,
        vm: &VmId,
        reason: EndReason,
        wait_ms: u64,
        witness_end: Option<WitnessEnd>,
        ended: &mut Vec<EndedMember>,
    ) {
        let Some(member) = self.members.remove(vm) else {
            return;
        };
        self.supervisions.remove(vm);
        ended.push(EndedMember {
            incarnation: member.incarnation,
            reason,
            region: member.join.region.clone(),
            vm: vm.clone(),
            wait_ms,
        });
        if let Some(witness_end) = witness_end {
            self.add_witness_end(&member, witness_end, ended);
        }
    }

    /// Adds the end of a witness as evidence about the members that it is a witness of.
    fn add_witness_end(
        &mut self,
        witness: &Member,
        witness_end: WitnessEnd,
        ended: &mut Vec<EndedMember>,
    ) {
        self.add_to_watched(ended, |supervision, lease_ms| {
            let evidence = witness_end.evidence(lease_ms);
            supervision.add_evidence(&witness.join.vm, witness.incarnation, evidence)
        });
    }

    /// Adds evidence about each member with `add`, and ends the members that are lost by it.
    ///
    /// `add` gets the length of the member's lease in milliseconds, and reports whether it has added any.
    fn add_to_watched(
        &mut self,
        ended: &mut Vec<EndedMember>,
        add: impl Fn(&mut Supervision, u64) -> bool,
    ) {
        let members = &self.members;
        let watched: Vec<VmId> = self
            .supervisions
            .iter_mut()
            .filter_map(|(watched, supervision)| {
                let added = add(supervision, members.get(watched)?.join.lease_ms);
                added.then(|| watched.clone())
            })
            .collect();
        for watched in watched {
            self.end_if_lost(&watched, ended);
        }
    }

    /// Releases the witnesses of each member that has become the last of its region.
    pub(crate) fn release_witnesses_of_last(&mut self, offset: Offset, ended: &[EndedMember]) {
        for member in ended {
            self.release_witnesses_of_last_member(offset, &member.region);
        }
    }

    /// Releases the witnesses of a member that has become the last of its region.
    ///
    /// No other member is left to renew its lease or to suspect it.
    fn release_witnesses_of_last_member(&mut self, offset: Offset, region: &RegionId) {
        let mut remaining = self
            .members
            .values()
            .filter(|member| member.join.region == *region);
        let (Some(last), None) = (remaining.next(), remaining.next()) else {
            return;
        };
        let vm = last.join.vm.clone();
        if let Some(supervision) = self.supervisions.get_mut(&vm) {
            supervision.release_all(offset);
        }
        self.copy_witnesses(&vm);
    }
}
