//! Baseline concurrency limiter.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::Completion;
use crate::ConcurrencyLimiter;
use crate::Ticket;

/// Baseline that always allows as many requests as the upstream has slots.
#[derive(Clone, Debug)]
pub struct FixedConcurrencyLimiter {
    next_ticket: Ticket,
    running: BTreeSet<Ticket>,
    slots: u32,
}

impl FixedConcurrencyLimiter {
    /// Creates a limiter that allows `slots` requests at once.
    pub fn new(slots: u32) -> Self {
        Self {
            next_ticket: 0,
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
        let ticket = self.next_ticket;
        self.next_ticket += 1;
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
