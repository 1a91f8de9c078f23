//! The lease of a member.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::Incarnation;
use ids::VmId;

use crate::Electorate;
use crate::HeartbeatAnswer;
use crate::WitnessLink;

/// The lease of this member, renewed by the answers of witnesses to its heartbeats.
///
/// While witnesses are being replaced there are several electorates, the current one first. The log
/// ends the lease only by majorities of all electorates, so the renewals of any one of them suffice.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lease {
    electorates: Vec<Electorate>,
    end: Option<Duration>,
    /// The latest end that the lease has ever had.
    latest_end: Option<Duration>,
    /// Time that the lease lasts after the sending of the heartbeats that renew it.
    length: Duration,
    links: BTreeMap<(VmId, Incarnation), WitnessLink>,
}

impl Lease {
    pub(crate) fn new(length: Duration) -> Self {
        Self {
            length,
            ..Self::default()
        }
    }

    /// Sets the electorates whose renewals count. Witnesses that remain keep their recorded answers.
    pub(crate) fn set_electorates(&mut self, electorates: Vec<Electorate>) {
        if self.electorates == electorates {
            return;
        }
        let mut links = BTreeMap::new();
        for (vm, incarnation) in electorates.iter().flat_map(|one| &one.witnesses) {
            let key = (vm.clone(), *incarnation);
            let link = self.links.remove(&key).unwrap_or_default();
            links.entry(key).or_insert(link);
        }
        self.links = links;
        self.electorates = electorates;
    }

    /// Records a heartbeat to each witness that one is due to, and returns these witnesses with the
    /// sequence numbers of the heartbeats.
    pub(crate) fn due_heartbeats(&mut self, now: Duration, sequence: &mut u64) -> Vec<(VmId, u64)> {
        let mut due = Vec::new();
        for ((vm, _), link) in &mut self.links {
            if link.send_if_due(now, *sequence + 1) {
                *sequence += 1;
                due.push((vm.clone(), *sequence));
            }
        }
        due
    }

    /// Records the answer of a witness.
    pub(crate) fn record_answer(&mut self, answer: &HeartbeatAnswer) {
        let key = (answer.witness.clone(), answer.witness_incarnation);
        if let Some(link) = self.links.get_mut(&key) {
            link.record_answer(answer);
        }
    }

    /// Recomputes the end of the lease from the recorded renewals.
    pub(crate) fn recompute(&mut self, now: Duration) {
        let renewed = self.quorum_time(now, WitnessLink::last_renewal);
        self.end = renewed.map(|time| time + self.length);
        self.latest_end = self.latest_end.max(self.end);
    }

    /// Reports whether the current witnesses alone have renewed the lease within the last half of its
    /// length.
    pub(crate) fn is_renewed_by_current(&self, now: Duration) -> bool {
        let Some(current) = self.electorates.first() else {
            return false;
        };
        let renewed = current.reached(now, self.link_time(WitnessLink::last_renewal));
        renewed.is_some_and(|time| now < time + self.length / 2)
    }

    /// Returns the end of the lease as last computed.
    pub(crate) fn end(&self) -> Option<Duration> {
        self.end
    }

    /// Returns the latest end that the lease has ever had.
    pub(crate) fn latest_end(&self) -> Option<Duration> {
        self.latest_end
    }

    /// Reports whether the lease holds.
    pub(crate) fn holds(&self, now: Duration) -> bool {
        self.end.is_some_and(|end| now < end)
    }

    /// Returns the latest time such that enough witnesses confirmed contact in answer to heartbeats
    /// sent then or later.
    pub(crate) fn last_contact(&self, now: Duration) -> Option<Duration> {
        self.quorum_time(now, WitnessLink::last_contact)
    }

    /// Reports whether enough witnesses confirmed contact within the length of a lease.
    pub(crate) fn has_contact(&self, now: Duration) -> bool {
        let contact = self.last_contact(now);
        contact.is_some_and(|time| now < time + self.length)
    }

    /// Reports whether so many witnesses have ended contact that the lease can no longer be renewed.
    ///
    /// Electorates without witnesses are ignored: a lease that the member renewed alone expires by
    /// itself.
    pub(crate) fn is_lost(&self) -> bool {
        let refuses = |vm: &VmId, incarnation| {
            let link = self.links.get(&(vm.clone(), incarnation));
            incarnation == 0 || link.is_some_and(WitnessLink::has_refused)
        };
        let has_witnesses = |current: &Electorate| current.renewals > 0;
        let mut electorates = self.electorates.iter();
        self.electorates.first().is_some_and(has_witnesses)
            && electorates.all(|one| one.renewals == 0 || one.is_out_of_reach(refuses))
    }

    fn quorum_time(
        &self,
        now: Duration,
        time: impl Fn(&WitnessLink) -> Option<Duration>,
    ) -> Option<Duration> {
        let link_time = self.link_time(time);
        let electorates = self.electorates.iter();
        electorates
            .filter_map(|one| one.reached(now, &link_time))
            .max()
    }

    fn link_time(
        &self,
        time: impl Fn(&WitnessLink) -> Option<Duration>,
    ) -> impl Fn(&VmId, Incarnation) -> Option<Duration> {
        move |vm, incarnation| {
            let link = self.links.get(&(vm.clone(), incarnation));
            link.and_then(&time)
        }
    }
}
