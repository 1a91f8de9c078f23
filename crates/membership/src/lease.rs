//! The lease of a member.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::Incarnation;
use ids::VmId;

use crate::HeartbeatAnswer;
use crate::WitnessLink;
use crate::WitnessQuorum;

/// The lease of a member, as its own heartbeats and their answers renew it.
///
/// While witnesses are being replaced there are several quorums, the present one first. The
/// log ends the lease only by majorities of all, so each renews it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lease {
    quorums: Vec<WitnessQuorum>,
    /// The latest end that the lease has had.
    ended: Option<Duration>,
    /// Time that the lease lasts after a renewal was asked for.
    length: Duration,
    links: BTreeMap<(VmId, Incarnation), WitnessLink>,
    until: Option<Duration>,
}

impl Lease {
    pub(crate) fn new(length: Duration) -> Self {
        Self {
            length,
            ..Self::default()
        }
    }

    /// Sets whose renewals count.
    pub(crate) fn need(&mut self, quorums: Vec<WitnessQuorum>) {
        if self.quorums == quorums {
            return;
        }
        let mut links = BTreeMap::new();
        for (vm, incarnation) in quorums.iter().flat_map(|one| &one.witnesses) {
            let key = (vm.clone(), *incarnation);
            let link = self.links.remove(&key).unwrap_or_default();
            links.entry(key).or_insert(link);
        }
        self.links = links;
        self.quorums = quorums;
    }

    /// Returns the witnesses that a heartbeat is due to, with the numbers of the heartbeats.
    pub(crate) fn heartbeats(&mut self, now: Duration, sequence: &mut u64) -> Vec<(VmId, u64)> {
        let mut due = Vec::new();
        for ((vm, _), link) in &mut self.links {
            if link.send(now, *sequence + 1) {
                *sequence += 1;
                due.push((vm.clone(), *sequence));
            }
        }
        due
    }

    /// Takes the answer of a witness.
    pub(crate) fn answered(&mut self, answer: &HeartbeatAnswer) {
        let key = (answer.witness.clone(), answer.witness_incarnation);
        if let Some(link) = self.links.get_mut(&key) {
            link.answered(answer);
        }
    }

    /// Computes the end of the lease anew.
    pub(crate) fn renew(&mut self, now: Duration) {
        let renewed = self.reached(now, WitnessLink::renewed);
        self.until = renewed.map(|time| time + self.length);
        self.ended = self.ended.max(self.until);
    }

    /// Tells whether the present witnesses alone have renewed recently.
    pub(crate) fn is_renewed_by_present(&self, now: Duration) -> bool {
        let Some(present) = self.quorums.first() else {
            return false;
        };
        let renewed = present.quorum_time(now, self.time_of(WitnessLink::renewed));
        renewed.is_some_and(|time| now < time + self.length / 2)
    }

    /// Returns the end of the lease as last computed.
    pub(crate) fn until(&self) -> Option<Duration> {
        self.until
    }

    /// Returns the latest end that the lease has had.
    pub(crate) fn ended(&self) -> Option<Duration> {
        self.ended
    }

    /// Tells whether the lease holds.
    pub(crate) fn holds(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns when the last heartbeat was sent that enough witnesses answered with contact.
    pub(crate) fn contact(&self, now: Duration) -> Option<Duration> {
        self.reached(now, WitnessLink::contact)
    }

    /// Tells whether enough witnesses gave contact within a lease.
    pub(crate) fn has_contact(&self, now: Duration) -> bool {
        let contact = self.contact(now);
        contact.is_some_and(|time| now < time + self.length)
    }

    /// Tells whether so many witnesses ended contact that the lease cannot be renewed any more. What
    /// a member renewed alone before it had witnesses ends by itself.
    pub(crate) fn is_lost(&self) -> bool {
        let refuses = |vm: &VmId, incarnation| {
            let link = self.links.get(&(vm.clone(), incarnation));
            incarnation == 0 || link.is_some_and(WitnessLink::refused)
        };
        let is_watched = |present: &WitnessQuorum| present.required_renewals > 0;
        let mut quorums = self.quorums.iter();
        self.quorums.first().is_some_and(is_watched)
            && quorums.all(|one| one.required_renewals == 0 || one.is_unattainable(refuses))
    }

    fn reached(
        &self,
        now: Duration,
        time: impl Fn(&WitnessLink) -> Option<Duration>,
    ) -> Option<Duration> {
        let time_of = self.time_of(time);
        let quorums = self.quorums.iter();
        quorums
            .filter_map(|one| one.quorum_time(now, &time_of))
            .max()
    }

    fn time_of(
        &self,
        time: impl Fn(&WitnessLink) -> Option<Duration>,
    ) -> impl Fn(&VmId, Incarnation) -> Option<Duration> {
        move |vm, incarnation| {
            let link = self.links.get(&(vm.clone(), incarnation));
            link.and_then(&time)
        }
    }
}
