//! The members that this process watches as a witness.

use std::collections::BTreeMap;
use std::time::Duration;

use cluster::Fleet;
use cluster::Suspicion;
use ids::Incarnation;
use ids::VmId;

use crate::Heartbeat;
use crate::MonitoredMember;
use crate::WatchedMember;

/// The members that this process watches as a witness: it answers their heartbeats, and suspects
/// those that are silent.
#[derive(Debug, Default)]
pub(crate) struct WatchedMembers {
    members: BTreeMap<VmId, WatchedMember>,
}

impl WatchedMembers {
    /// Watches the members for which the log names this process as a witness.
    pub(crate) fn sync_with_fleet(
        &mut self,
        now: Duration,
        fleet: &Fleet,
        own_vm: &VmId,
        incarnation: Incarnation,
    ) {
        let is_watched_here = |vm: &VmId| fleet.is_witness(own_vm, incarnation, vm);
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

    /// Records a heartbeat, and reports whether the witness has contact with the member.
    pub(crate) fn record_heartbeat(
        &mut self,
        now: Duration,
        fleet: &Fleet,
        heartbeat: &Heartbeat,
    ) -> bool {
        if heartbeat.incarnation >= fleet.next_offset() {
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

    /// Records that a heartbeat was answered with a renewal.
    pub(crate) fn record_renewal(&mut self, now: Duration, vm: &VmId) {
        if let Some(WatchedMember::Monitored(monitored)) = self.members.get_mut(vm) {
            monitored.record_renewal(now);
        }
    }

    /// Suspects the members that were silent for too long, and returns the new suspicions for the log.
    ///
    /// After a pause of this process, the silence of all members is measured from now on, since this
    /// process could not receive heartbeats during the pause.
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

    /// Stops watching all members, when this process is no longer a member.
    pub(crate) fn clear(&mut self) {
        self.members.clear();
    }

    /// Returns the number of members that are watched and not suspected, and of those suspected.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let is_suspected =
            |watched: &&WatchedMember| matches!(watched, WatchedMember::Suspected(_));
        let suspected = self.members.values().filter(is_suspected).count();
        (self.members.len() - suspected, suspected)
    }
}

/// Reports whether an entry is still current. A suspicion stays current for the whole incarnation of
/// the member, even if this process is no longer its witness.
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
