//! Witnesses of one member and their evidence about its lease.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use ids::Incarnation;
use ids::Offset;
use ids::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::evidence::Evidence;
use crate::witness_set::WitnessSet;

/// The witness sets of one member, and their evidence about its lease.
///
/// # Why a new owner never serves before the lease has expired
///
/// A lease is valid until `LEASE`, on the clock of the member, after it sent the newest heartbeat
/// that `Quorum::renewals` witnesses answered. A loss needs evidence from `Quorum::suspicions`
/// witnesses of the same set. The two numbers add up to more than the number of witnesses, so at
/// least one witness that renewed has given evidence. That evidence bounds the time of its last
/// renewal:
///
/// - A witness suspects a member only after it has stopped renewing the lease for good. Its last
///   renewal was `last_renewed_ago` earlier on its own clock, and the heartbeat that it renewed was
///   sent before that. The lease is over `LEASE - last_renewed_ago` after the append of the
///   suspicion.
/// - A witness that left, was replaced, or was declared lost by an operator had stopped before the
///   record was appended. The lease is over `LEASE` after the append.
///   The `Join` of a process bounds the renewals of all earlier incarnations of its VM in the same way.
/// - A witness renews only while it has itself received answers from `Quorum::renewals` of its own
///   witnesses within `LEASE`. If it was lost because enough of them no longer answer it, then it
///   stops renewing a known time after its loss, and the last lease that it renewed ends `LEASE`
///   later: two leases in total. If the loss of the witness was itself decided with evidence of
///   lost witnesses, which may still answer it, then it may go on renewing, and nothing is
///   concluded from its loss.
///
/// Any majority that has given evidence suffices, so the new owner waits for the one whose longest
/// wait is the shortest. It counts this wait from its own reading of the deciding record, which
/// comes after all appends. `DRIFT_MARGIN` is added for each lease, so clocks may differ in speed
/// by 1.2%.
///
/// # Replacement of witnesses
///
/// A `Rewitness` record names a new set, and the former set stays in force beside it. Until the
/// member has read the record it renews with the former set, afterwards with either. A loss needs
/// majorities of all sets in force, so it can't be decided while one of them renews. The member's
/// next `Rewitness`, based on the record that named the new set, shows that the member has read
/// that record, and releases the former sets. The member must stop counting answers of a former
/// set before it appends this `Rewitness`.
///
/// The former sets are not released while so many witnesses of the new set are gone that it can't
/// renew. The next `Rewitness` then names a further set, and the member may renew with any of them.
///
/// The roster names a further set itself as soon as no set in force can renew. A member that is gone
/// asks for none, and nobody would be left to suspect it. A `Rewitness` that the member appended before it
/// read of that set has an older base and is void, so it releases nothing.
///
/// # First witnesses
///
/// A set without witnesses is not kept as a former one. A member without witnesses holds its lease
/// alone, and ends that lease `LEASE` after it first asks for witnesses, which is before it sends
/// the `Rewitness`. A witness named by that record has never been a witness of this incarnation of
/// the member before, and becomes one when it reads the record. Its `last_renewed_ago` is therefore
/// no longer than the time since the member asked, so its suspicion bounds the lease held alone
/// as it bounds a renewal. All other evidence states a longer wait, and every loss needs a
/// suspicion.
///
/// # Limits
///
/// Evidence that witnesses are gone ends no lease by itself: at least one witness must suspect
/// the member. Many graceful stops at once therefore never end a healthy member. A member that
/// fails together with so many witnesses that too few of a set are left to suspect it, or to be replaced by
/// later incarnations, keeps its units until an operator declares it lost.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Supervision {
    pub(crate) current: WitnessSet,
    /// Incarnations that have suspected the member and will never renew its lease again.
    #[serde(rename = "distrustful")]
    suspecting: BTreeSet<(VmId, Incarnation)>,
    former: Vec<WitnessSet>,
}

/// Upper bounds for the end of the lease of a lost member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct LeaseEnd {
    /// Time until the member no longer renews the leases of others, or `None` if that is unknown.
    pub(crate) contact_wait_ms: Option<u64>,
    /// Time until the lease of the member is over.
    pub(crate) lease_wait_ms: u64,
}

impl Supervision {
    pub(crate) fn new(named_at: Offset, witnesses: BTreeMap<VmId, Incarnation>) -> Self {
        Self {
            current: WitnessSet::new(named_at, witnesses),
            suspecting: BTreeSet::new(),
            former: Vec::new(),
        }
    }

    /// Reports whether former sets are in force beside the current one.
    pub(crate) fn has_former(&self) -> bool {
        !self.former.is_empty()
    }

    /// Reports whether the next `Rewitness` releases the former sets instead of naming new witnesses.
    pub(crate) fn releases_former(&self) -> bool {
        self.has_former() && self.current.can_renew()
    }

    /// Reports whether enough witnesses of any set in force may still renew the lease.
    pub(crate) fn can_renew(&self) -> bool {
        self.sets().any(WitnessSet::can_renew)
    }

    /// Reports whether an earlier incarnation of a VM is a witness.
    pub(crate) fn includes_earlier(&self, vm: &str, incarnation: Incarnation) -> bool {
        let is_earlier = |named: &Incarnation| *named < incarnation;
        self.sets()
            .any(|set| set.witnesses.get(vm).is_some_and(is_earlier))
    }

    /// Replaces the witnesses, or releases the former sets.
    pub(crate) fn replace_witnesses(
        &mut self,
        named_at: Offset,
        witnesses: BTreeMap<VmId, Incarnation>,
    ) {
        if self.releases_former() {
            self.former.clear();
            return;
        }
        let set = WitnessSet::new(named_at, witnesses);
        let former = std::mem::replace(&mut self.current, set);
        if !former.witnesses.is_empty() {
            self.former.push(former);
        }
    }

    /// Releases all witnesses of a member that is the last of its region.
    pub(crate) fn release_all(&mut self, offset: Offset) {
        self.current = WitnessSet::new(offset, BTreeMap::new());
        self.former.clear();
    }

    pub(crate) fn includes(&self, vm: &str, incarnation: Incarnation) -> bool {
        self.sets().any(|set| set.includes(vm, incarnation))
    }

    pub(crate) fn was_suspected_by(&self, vm: &VmId, incarnation: Incarnation) -> bool {
        !self.suspecting.is_empty() && self.suspecting.contains(&(vm.clone(), incarnation))
    }

    /// Adds evidence of a witness to each set that includes it, and reports whether any set does.
    pub(crate) fn add_evidence(
        &mut self,
        witness: &VmId,
        incarnation: Incarnation,
        evidence: Evidence,
    ) -> bool {
        let mut included = false;
        for set in self.sets_mut() {
            if set.includes(witness, incarnation) {
                set.add_evidence(witness, evidence);
                included = true;
            }
        }
        if included && evidence.is_suspicion() {
            self.suspecting.insert((witness.clone(), incarnation));
        }
        included
    }

    /// Adds evidence that all incarnations of a witness have ended so far, and reports whether any set lacked it.
    pub(crate) fn add_evidence_of_all_incarnations(
        &mut self,
        witness: &VmId,
        evidence: Evidence,
    ) -> bool {
        let mut added = false;
        for set in self.sets_mut() {
            if set.lacks_evidence_of(witness) {
                set.add_evidence(witness, evidence);
                added = true;
            }
        }
        added
    }

    /// Returns when the lease is over, or `None` if the evidence does not show that it ends.
    pub(crate) fn lease_end(&self) -> Option<LeaseEnd> {
        if !self.sets().any(WitnessSet::has_suspicion) {
            return None;
        }
        let lease_waits: Option<Vec<u64>> = self.sets().map(WitnessSet::lease_wait_ms).collect();
        let contact_waits: Option<Vec<u64>> =
            self.sets().map(WitnessSet::contact_wait_ms).collect();
        Some(LeaseEnd {
            contact_wait_ms: contact_waits.and_then(|waits| waits.into_iter().max()),
            lease_wait_ms: lease_waits?.into_iter().max()?,
        })
    }

    fn sets_mut(&mut self) -> impl Iterator<Item = &mut WitnessSet> {
        std::iter::once(&mut self.current).chain(&mut self.former)
    }

    fn sets(&self) -> impl Iterator<Item = &WitnessSet> {
        std::iter::once(&self.current).chain(&self.former)
    }
}
