//! The members and what decides about their leases.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use ids::Incarnation;
use ids::Offset;
use ids::VmId;

use crate::Change;
use crate::EndReason;
use crate::Join;
use crate::Member;
use crate::Suspicion;
use crate::evidence::Evidence;
use crate::supervision::Supervision;
use crate::supervision::Verdict;
use crate::timing::LEASE_MS;
use crate::timing::full_wait_ms;

/// The members and what decides about their leases.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Roster {
    pub(crate) members: BTreeMap<VmId, Member>,
    pub(crate) supervisions: BTreeMap<VmId, Supervision>,
}

/// A member that a record has ended.
pub(crate) struct Ended {
    pub(crate) incarnation: Incarnation,
    pub(crate) reason: EndReason,
    pub(crate) vm: VmId,
    /// Time that heirs wait for the lease that has ended, in milliseconds.
    pub(crate) wait_ms: u64,
}

/// What the end of a member means for those that it is a witness of.
#[derive(Clone, Copy)]
enum Spread {
    /// It has stopped.
    Gone,
    /// It has contact for at most the time given, in milliseconds, and may renew until then.
    Lost(u64),
}

impl Spread {
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

    /// Returns a member if this is its present life.
    pub(crate) fn alive(&self, vm: &str, incarnation: Incarnation) -> Option<&Member> {
        let member = self.members.get(vm)?;
        (member.incarnation == incarnation).then_some(member)
    }

    pub(crate) fn supervision(&self, vm: &str) -> Option<&Supervision> {
        self.supervisions.get(vm)
    }

    /// Restores a member of a snapshot.
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
        let witnesses = self.choose(&vm);
        let supervision = Supervision::new(offset, self.with_incarnations(&witnesses));
        self.supervisions.insert(vm.clone(), supervision);
        self.copy_witnesses(&vm);
    }

    /// Ends the members that a new process of `vm` at the address in `join` shows to be gone.
    pub(crate) fn replace(&mut self, offset: Offset, join: &Join) -> Vec<Ended> {
        let replaced: Vec<VmId> = self
            .members
            .values()
            .filter(|member| member.join.vm == join.vm || member.join.peer == join.peer)
            .map(|member| member.join.vm.clone())
            .collect();
        let mut ended = Vec::new();
        for vm in replaced {
            ended.extend(self.end(offset, &vm, EndReason::Replaced));
        }
        ended
    }

    /// Ends a member whose process has stopped, and every member that this decides about.
    pub(crate) fn end(&mut self, offset: Offset, vm: &VmId, reason: EndReason) -> Vec<Ended> {
        let wait_ms = match reason {
            EndReason::DeclaredLost => self.full_wait_ms(vm),
            EndReason::Left | EndReason::Lost | EndReason::Replaced => 0,
        };
        let mut ended = Vec::new();
        self.remove(offset, vm, reason, wait_ms, Some(Spread::Gone), &mut ended);
        ended
    }

    /// Adds the suspicions of one witness, each of which may decide about a member.
    pub(crate) fn suspect(
        &mut self,
        offset: Offset,
        witness: &VmId,
        incarnation: Incarnation,
        suspicions: &[Suspicion],
        changes: &mut Vec<Change>,
    ) -> Vec<Ended> {
        let mut ended = Vec::new();
        for suspicion in suspicions {
            if self.alive(witness, incarnation).is_none() {
                break;
            }
            if self.alive(&suspicion.vm, suspicion.incarnation).is_none() {
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
                self.decide(offset, &suspicion.vm, &mut ended);
            }
        }
        ended
    }

    /// Names new witnesses of a member, or releases the former ones.
    pub(crate) fn rewitness(&mut self, offset: Offset, vm: &VmId) {
        let witnesses = self.with_incarnations(&self.choose(vm));
        if let Some(supervision) = self.supervisions.get_mut(vm) {
            supervision.rewitness(offset, witnesses);
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
            .is_some_and(|supervision| supervision.add(witness, incarnation, evidence))
    }

    fn decide(&mut self, offset: Offset, vm: &VmId, ended: &mut Vec<Ended>) {
        let Some(verdict) = self.supervisions.get(vm).and_then(Supervision::verdict) else {
            return;
        };
        let Verdict {
            contact_wait_ms,
            lease_wait_ms,
        } = verdict;
        let spread = contact_wait_ms.map(Spread::Lost);
        self.remove(offset, vm, EndReason::Lost, lease_wait_ms, spread, ended);
    }

    fn remove(
        &mut self,
        offset: Offset,
        vm: &VmId,
        reason: EndReason,
        wait_ms: u64,
        spread: Option<Spread>,
        ended: &mut Vec<Ended>,
    ) {
        let Some(member) = self.members.remove(vm) else {
            return;
        };
        self.supervisions.remove(vm);
        ended.push(Ended {
            incarnation: member.incarnation,
            reason,
            vm: vm.clone(),
            wait_ms,
        });
        if let Some(spread) = spread {
            self.spread_evidence(offset, &member, spread, ended);
        }
        self.dismiss_witnesses_of_last(offset, &member);
    }

    fn spread_evidence(
        &mut self,
        offset: Offset,
        witness: &Member,
        spread: Spread,
        ended: &mut Vec<Ended>,
    ) {
        let vm = &witness.join.vm;
        let members = &self.members;
        let watched: Vec<VmId> = self
            .supervisions
            .iter_mut()
            .filter_map(|(watched, supervision)| {
                let evidence = spread.evidence(members.get(watched)?.join.lease_ms);
                let added = supervision.add(vm, witness.incarnation, evidence);
                added.then(|| watched.clone())
            })
            .collect();
        for watched in watched {
            self.decide(offset, &watched, ended);
        }
    }

    /// Releases the witnesses of a member that has become the last of its region.
    ///
    /// Nobody is left to renew its lease, nor to suspect it.
    fn dismiss_witnesses_of_last(&mut self, offset: Offset, gone: &Member) {
        let mut rest = self
            .members
            .values()
            .filter(|member| member.join.region == gone.join.region);
        let (Some(last), None) = (rest.next(), rest.next()) else {
            return;
        };
        let vm = last.join.vm.clone();
        if let Some(supervision) = self.supervisions.get_mut(&vm) {
            supervision.dismiss_all(offset);
        }
        self.copy_witnesses(&vm);
    }
}
