//! Baseline for the number of requests that run at once.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::Completion;
use crate::ConcurrencyLimiter;
use crate::Ticket;

/// Baseline that always uses all slots of the upstream.
#[derive(Clone, Debug)]
pub struct FixedConcurrencyLimiter {
    next: Ticket,
    running: BTreeSet<Ticket>,
    slots: u32,
}

impl FixedConcurrencyLimiter {
    /// Creates a limit of `slots`.
    pub fn new(slots: u32) -> Self {
        Self {
            next: 0,
            running: BTreeSet::new(),
            slots,
        }
    }
}

impl ConcurrencyLimiter for FixedConcurrencyLimiter {
    fn acquire(&mut self, _now: Duration) -> Option<Ticket> {
        if self.in_flight() >= self.slots {
            return None;
        }
        let ticket = self.next;
        self.next += 1;
        self.running.insert(ticket);
        Some(ticket)
    }

    fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    fn limit(&self, _now: Duration) -> u32 {
        self.slots
    }

    fn release(&mut self, _now: Duration, ticket: Ticket, _completion: Completion) {
        self.running.remove(&ticket);
    }

    fn restart(&mut self, _now: Duration, slots: u32) {
        self.slots = slots;
        self.running.clear();
    }

    fn tick(&mut self, _now: Duration) {}
}
