//! The lease of a member.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::Incarnation;
use ids::VmId;

use crate::HeartbeatAnswer;
use crate::WitnessLink;
use crate::WitnessQuorum;

/// The lease of this member, renewed by the answers of witnesses to its heartbeats.
///
/// While witnesses are being replaced there are several quorums, the current one first. The log ends
/// the lease only by majorities of the witnesses of every quorum, so the renewals of any one quorum
/// suffice.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lease {
    end: Option<Duration>,
    /// The latest end that the lease has ever had.
    latest_end: Option<Duration>,
    /// Time that the lease lasts after the sending of the heartbeats that renew it.
    length: Duration,
    links: BTreeMap<(VmId, Incarnation), WitnessLink>,
    quorums: Vec<WitnessQuorum>,
}

impl Lease {
    pub(crate) fn new(length: Duration) -> Self {
        Self {
            length,
            ..Self::default()
        }
    }

    /// Sets the quorums whose renewals count. Witnesses that remain keep their recorded answers.
    pub(crate) fn set_quorums(&mut self, quorums: Vec<WitnessQuorum>) {
        if self.quorums == quorums {
            return;
        }
        let mut links = BTreeMap::new();
        for (vm, incarnation) in quorums.iter().flat_map(|quorum| &quorum.witnesses) {
            let key = (vm.clone(), *incarnation);
            let link = self.links.remove(&key).unwrap_or_default();
            links.entry(key).or_insert(link);
        }
        self.links = links;
        self.quorums = quorums;
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
        let renewed = self.latest_quorum_time(now, WitnessLink::last_renewal);
        self.end = renewed.map(|time| time + self.length);
        self.latest_end = self.latest_end.max(self.end);
    }

    /// Reports whether the current witnesses alone have renewed the lease within the last half of its
    /// length.
    pub(crate) fn is_renewed_by_current(&self, now: Duration) -> bool {
        let Some(current) = self.quorums.first() else {
            return false;
        };
        let renewed = current.quorum_time(now, self.link_time(WitnessLink::last_renewal));
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
        self.latest_quorum_time(now, WitnessLink::last_contact)
    }

    /// Reports whether enough witnesses confirmed contact within the length of a lease.
    pub(crate) fn has_contact(&self, now: Duration) -> bool {
        let contact = self.last_contact(now);
        contact.is_some_and(|time| now < time + self.length)
    }

    /// Reports whether so many witnesses have ended contact that the lease can no longer be renewed.
    ///
    /// Quorums without witnesses are ignored: a lease that the member renewed alone expires by
    /// itself.
    pub(crate) fn is_lost(&self) -> bool {
        let refuses = |vm: &VmId, incarnation| {
            let link = self.links.get(&(vm.clone(), incarnation));
            incarnation == 0 || link.is_some_and(WitnessLink::has_refused)
        };
        let has_witnesses = |current: &WitnessQuorum| current.required_renewals > 0;
        let mut quorums = self.quorums.iter();
        self.quorums.first().is_some_and(has_witnesses)
            && quorums
                .all(|quorum| quorum.required_renewals == 0 || quorum.is_unattainable(refuses))
    }

    fn latest_quorum_time(
        &self,
        now: Duration,
        time: impl Fn(&WitnessLink) -> Option<Duration>,
    ) -> Option<Duration> {
        let link_time = self.link_time(time);
        let quorums = self.quorums.iter();
        quorums
            .filter_map(|quorum| quorum.quorum_time(now, &link_time))
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
