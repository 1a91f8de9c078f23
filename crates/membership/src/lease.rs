//! The lease of a member.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::Incarnation;
use ids::VmId;

use crate::Electorate;
use crate::HeartbeatAnswer;
use crate::WitnessLink;

/// The lease of a member, as its own heartbeats and their answers renew it.
///
/// While witnesses are being replaced there are several electorates, the current one first. The
/// log ends the lease only by majorities of all, so each renews it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lease {
    electorates: Vec<Electorate>,
    /// The latest end that the lease has had.
    latest_end: Option<Duration>,
    /// Time that the lease lasts after a renewal was asked for.
    length: Duration,
    links: BTreeMap<(VmId, Incarnation), WitnessLink>,
    end: Option<Duration>,
}

impl Lease {
    pub(crate) fn new(length: Duration) -> Self {
        Self {
            length,
            ..Self::default()
        }
    }

    /// Sets whose renewals count.
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

    /// Returns the witnesses that a heartbeat is due to, with the numbers of the heartbeats.
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

    /// Takes the answer of a witness.
    pub(crate) fn record_answer(&mut self, answer: &HeartbeatAnswer) {
        let key = (answer.witness.clone(), answer.witness_incarnation);
        if let Some(link) = self.links.get_mut(&key) {
            link.record_answer(answer);
        }
    }

    /// Computes the end of the lease anew.
    pub(crate) fn recompute(&mut self, now: Duration) {
        let renewed = self.quorum_time(now, WitnessLink::last_renewal);
        self.end = renewed.map(|time| time + self.length);
        self.latest_end = self.latest_end.max(self.end);
    }

    /// Tells whether the current witnesses alone have renewed recently.
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

    /// Returns the latest end that the lease has had.
    pub(crate) fn latest_end(&self) -> Option<Duration> {
        self.latest_end
    }

    /// Tells whether the lease holds.
    pub(crate) fn holds(&self, now: Duration) -> bool {
        self.end.is_some_and(|end| now < end)
    }

    /// Returns when the last heartbeat was sent that enough witnesses answered with contact.
    pub(crate) fn last_contact(&self, now: Duration) -> Option<Duration> {
        self.quorum_time(now, WitnessLink::last_contact)
    }

    /// Tells whether enough witnesses gave contact within a lease.
    pub(crate) fn has_contact(&self, now: Duration) -> bool {
        let contact = self.last_contact(now);
        contact.is_some_and(|time| now < time + self.length)
    }

    /// Tells whether so many witnesses ended contact that the lease cannot be renewed any more. What
    /// a member renewed alone before it had witnesses ends by itself.
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
