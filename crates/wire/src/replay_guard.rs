//! Protection against repeated datagrams.

use std::collections::BTreeMap;

use ids::Incarnation;
use ids::VmId;

/// Number of sequence numbers below the newest that are told apart.
const WINDOW_SIZE: u64 = 64;

/// Accepts each sequence number of a sender once, and none of an earlier life.
#[derive(Clone, Debug, Default)]
pub struct ReplayGuard {
    senders: BTreeMap<VmId, Window>,
}

/// Sequence numbers of one sender that have received.
#[derive(Clone, Copy, Debug)]
struct Window {
    /// Bit n is set when `newest - n` has received.
    received: u64,
    incarnation: Incarnation,
    newest: u64,
}

impl ReplayGuard {
    /// Returns whether a datagram is new, and notes that it has received.
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

    /// Forgets the senders for which `keep` returns false.
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
