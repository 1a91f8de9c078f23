//! The duties of a witness.

use std::collections::BTreeMap;
use std::time::Duration;

use cluster::Fleet;
use cluster::Suspicion;
use ids::Incarnation;
use ids::VmId;

use crate::Heartbeat;
use crate::Watch;
use crate::Watching;

/// The duties of a witness: to answer heartbeats, and to suspect members that are silent.
#[derive(Debug, Default)]
pub(crate) struct Watches {
    watches: BTreeMap<VmId, Watch>,
}

impl Watches {
    /// Watches the members that the log names this process a witness of.
    pub(crate) fn follow(
        &mut self,
        now: Duration,
        fleet: &Fleet,
        me: &VmId,
        incarnation: Incarnation,
    ) {
        let is_mine = |vm: &VmId| fleet.is_witness(me, incarnation, vm);
        self.watches
            .retain(|vm, watch| is_current(fleet, vm, watch, is_mine));
        for (vm, member) in fleet.members() {
            if is_mine(vm) && !self.watches.contains_key(vm) {
                let watching = Watching::new(now, member.incarnation);
                self.watches.insert(vm.clone(), Watch::Watching(watching));
            }
        }
    }

    /// Answers a heartbeat: returns whether the witness gives contact.
    pub(crate) fn hear(&mut self, now: Duration, fleet: &Fleet, heartbeat: &Heartbeat) -> bool {
        if heartbeat.incarnation >= fleet.next_offset() {
            return true;
        }
        let member = fleet.members().get(&heartbeat.from);
        if member.is_none_or(|member| member.incarnation != heartbeat.incarnation) {
            return false;
        }
        match self.watches.get_mut(&heartbeat.from) {
            Some(Watch::Watching(watching)) => {
                watching.hear(now);
                true
            }
            Some(Watch::Suspected(_)) => false,
            None => true,
        }
    }

    /// Notes that a heartbeat was answered with a renewal.
    pub(crate) fn renewed(&mut self, now: Duration, vm: &VmId) {
        if let Some(Watch::Watching(watching)) = self.watches.get_mut(vm) {
            watching.renew(now);
        }
    }

    /// Suspects the members that were silent for too long, and returns what the log is to hold.
    ///
    /// After a pause of this process the silence of all members counts anew, since it was this
    /// process that did not listen.
    pub(crate) fn tick(&mut self, now: Duration, was_paused: bool) -> Vec<Suspicion> {
        let mut suspicions = Vec::new();
        for (vm, watch) in &mut self.watches {
            let Watch::Watching(watching) = watch else {
                continue;
            };
            if was_paused {
                watching.hear(now);
            } else if watching.is_silent(now) {
                let suspected = watching.clone().suspect();
                suspicions.push(suspected.suspicion(now, vm.clone()));
                *watch = Watch::Suspected(suspected);
            }
        }
        suspicions
    }

    /// Forgets all watches, when the process is no member any more.
    pub(crate) fn clear(&mut self) {
        self.watches.clear();
    }

    /// Returns the numbers of members that are watched and suspected.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let is_suspected = |watch: &&Watch| matches!(watch, Watch::Suspected(_));
        let suspected = self.watches.values().filter(is_suspected).count();
        (self.watches.len() - suspected, suspected)
    }
}

/// Tells whether a watch matters: a suspicion for the whole life of the member.
fn is_current(fleet: &Fleet, vm: &VmId, watch: &Watch, is_mine: impl Fn(&VmId) -> bool) -> bool {
    let Some(member) = fleet.members().get(vm) else {
        return false;
    };
    match watch {
        Watch::Watching(watching) => member.incarnation == watching.incarnation() && is_mine(vm),
        Watch::Suspected(suspected) => member.incarnation == suspected.incarnation,
    }
}
