//! Protection against replayed datagrams.

use std::collections::BTreeMap;

use ids::Incarnation;
use ids::VmId;

/// Number of the most recent sequence numbers that are tracked. Older ones are rejected.
const WINDOW_SIZE: u64 = 64;

/// Accepts each sequence number of a sender at most once, and none of an earlier incarnation.
#[derive(Clone, Debug, Default)]
pub struct ReplayGuard {
    senders: BTreeMap<VmId, Window>,
}

/// Sequence numbers received from one sender.
#[derive(Clone, Copy, Debug)]
struct Window {
    /// Bit n is set if `newest - n` was received.
    received: u64,
    incarnation: Incarnation,
    newest: u64,
}

impl ReplayGuard {
    /// Records a datagram, and reports whether it is new.
    pub fn accept(&mut self, vm: &VmId, incarnation: Incarnation, sequence: u64) -> bool {
        match self.senders.get_mut(vm) {
            Some(window) if window.incarnation > incarnation => false,
            Some(window) if window.incarnation == incarnation => window.accept(sequence),
            _ => {
                let window = Window {
                    received: 1,
                    incarnation,
                    newest: sequence,
                };
                self.senders.insert(vm.clone(), window);
                true
            }
        }
    }

    /// Removes the senders for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&VmId) -> bool) {
        self.senders.retain(|vm, _| keep(vm));
    }
}

impl Window {
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.newest {
            let distance = sequence - self.newest;
            self.received = if distance < WINDOW_SIZE {
                self.received << distance | 1
            } else {
                1
            };
            self.newest = sequence;
            return true;
        }
        let age = self.newest - sequence;
        if age >= WINDOW_SIZE || self.received >> age & 1 == 1 {
            return false;
        }
        self.received |= 1 << age;
        true
    }
}
