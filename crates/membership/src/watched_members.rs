//! The duties of a witness.

use std::collections::BTreeMap;
use std::time::Duration;

use cluster::Fleet;
use cluster::Suspicion;
use ids::Incarnation;
use ids::VmId;

use crate::Heartbeat;
use crate::MonitoredMember;
use crate::WatchedMember;

/// The duties of a witness: to answer heartbeats, and to suspect members that are silent.
#[derive(Debug, Default)]
pub(crate) struct WatchedMembers {
    members: BTreeMap<VmId, WatchedMember>,
}

impl WatchedMembers {
    /// WatchedMembers the members that the log names this process a witness of.
    pub(crate) fn sync_with_fleet(
        &mut self,
        now: Duration,
        fleet: &Fleet,
        me: &VmId,
        incarnation: Incarnation,
    ) {
        let is_watched_here = |vm: &VmId| fleet.is_witness(me, incarnation, vm);
        self.members
            .retain(|vm, watched| is_current(fleet, vm, watched, is_watched_here));
        for (vm, member) in fleet.members() {
            if is_watched_here(vm) && !self.members.contains_key(vm) {
                let monitored = MonitoredMember::new(now, member.incarnation);
                self.members
                    .insert(vm.clone(), WatchedMember::Monitored(monitored));
            }
        }
    }

    /// Answers a heartbeat: returns whether the witness gives contact.
    pub(crate) fn record_heartbeat(
        &mut self,
        now: Duration,
        fleet: &Fleet,
        heartbeat: &Heartbeat,
    ) -> bool {
        if heartbeat.incarnation >= fleet.next() {
            return true;
        }
        let member = fleet.members().get(&heartbeat.from);
        if member.is_none_or(|member| member.incarnation != heartbeat.incarnation) {
            return false;
        }
        match self.members.get_mut(&heartbeat.from) {
            Some(WatchedMember::Monitored(monitored)) => {
                monitored.record_heartbeat(now);
                true
            }
            Some(WatchedMember::Suspected(_)) => false,
            None => true,
        }
    }

    /// Notes that a heartbeat was answered with a renewal.
    pub(crate) fn record_renewal(&mut self, now: Duration, vm: &VmId) {
        if let Some(WatchedMember::Monitored(monitored)) = self.members.get_mut(vm) {
            monitored.record_renewal(now);
        }
    }

    /// Suspects the members that were silent for too long, and returns what the log is to hold.
    ///
    /// After a pause of this process the silence of all members counts anew, since it was this
    /// process that did not listen.
    pub(crate) fn suspect_silent(&mut self, now: Duration, was_paused: bool) -> Vec<Suspicion> {
        let mut suspicions = Vec::new();
        for (vm, watched) in &mut self.members {
            let WatchedMember::Monitored(monitored) = watched else {
                continue;
            };
            if was_paused {
                monitored.record_heartbeat(now);
            } else if monitored.is_silent(now) {
                let suspected = monitored.clone().suspect();
                suspicions.push(suspected.suspicion(now, vm.clone()));
                *watched = WatchedMember::Suspected(suspected);
            }
        }
        suspicions
    }

    /// Forgets all watches, when the process is no member any more.
    pub(crate) fn clear(&mut self) {
        self.members.clear();
    }

    /// Returns the numbers of members that are watched and suspected.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let is_suspected =
            |watched: &&WatchedMember| matches!(watched, WatchedMember::Suspected(_));
        let suspected = self.members.values().filter(is_suspected).count();
        (self.members.len() - suspected, suspected)
    }
}

/// Tells whether a watched matters: a suspicion for the whole life of the member.
fn is_current(
    fleet: &Fleet,
    vm: &VmId,
    watched: &WatchedMember,
    is_watched_here: impl Fn(&VmId) -> bool,
) -> bool {
    let Some(member) = fleet.members().get(vm) else {
        return false;
    };
    match watched {
        WatchedMember::Monitored(monitored) => {
            member.incarnation == monitored.incarnation() && is_watched_here(vm)
        }
        WatchedMember::Suspected(suspected) => member.incarnation == suspected.incarnation,
    }
}
