//! Number of requests that run at once, by the state of the upstream.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Completion;
use crate::ConcurrencyLimiter;
use crate::Ticket;
use crate::WarmUpRamp;
use crate::latency_baseline::LatencyBaseline;

/// Length of the ramp in relation to the longest time that an upstream takes to warm up, in percent.
const RAMP_PERCENT: u32 = 140;

/// Ratio to the slow latency above which running requests count as a jump of latency.
const SILENT_RATIO: u32 = 2;

/// Time for which requests run at least before they count as a jump of latency.
const SILENT_TIME: Duration = Duration::from_millis(100);

/// Limit that starts at 1 on a cold upstream, grows while requests succeed, and collapses to 1 when the
/// upstream sheds load or its latency jumps.
///
/// Growth needs both time, by a [`WarmUpRamp`], and success: the limit grows by at most one with as many
/// answers as the limit, and only while it is used. It never exceeds the slots.
#[derive(Clone, Debug)]
pub struct AdaptiveConcurrencyLimiter {
    baseline: LatencyBaseline,
    earned: u32,
    next: Ticket,
    ramp: WarmUpRamp,
    running: BTreeMap<Ticket, Duration>,
    slots: u32,
    successes: u32,
    warm_up: Duration,
}

impl AdaptiveConcurrencyLimiter {
    /// Creates the limit of an upstream that starts cold with `slots`, and is warm after `warm_up`.
    pub fn new(now: Duration, slots: u32, warm_up: Duration) -> Self {
        Self {
            baseline: LatencyBaseline::default(),
            earned: 1,
            next: 0,
            ramp: WarmUpRamp::new(now, warm_up * RAMP_PERCENT / 100),
            running: BTreeMap::new(),
            slots,
            successes: 0,
            warm_up,
        }
    }

    fn collapse(&mut self, now: Duration) {
        self.earned = 1;
        self.successes = 0;
        self.baseline = LatencyBaseline::default();
        self.ramp = WarmUpRamp::new(now, self.warm_up * RAMP_PERCENT / 100);
    }

    fn succeed(&mut self, now: Duration, was_full: bool) {
        if !was_full || self.earned > self.ramp.allowed_load(now, self.slots) {
            return;
        }
        self.successes += 1;
        if self.successes >= self.earned {
            self.successes = 0;
            self.earned = self.slots.min(self.earned + 1);
        }
    }
}

impl ConcurrencyLimiter for AdaptiveConcurrencyLimiter {
    fn acquire(&mut self, now: Duration) -> Option<Ticket> {
        if self.in_flight() >= self.limit(now) {
            return None;
        }
        let ticket = self.next;
        self.next += 1;
        self.running.insert(ticket, now);
        Some(ticket)
    }

    fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    fn limit(&self, now: Duration) -> u32 {
        let ramped = self.ramp.allowed_load(now, self.slots);
        self.earned.min(ramped).min(self.slots)
    }

    fn release(&mut self, now: Duration, ticket: Ticket, completion: Completion) {
        let was_full = self.in_flight() >= self.limit(now);
        if self.running.remove(&ticket).is_none() {
            return;
        }
        match completion {
            Completion::Answered { latency } if self.baseline.observe(now, latency) => {
                self.collapse(now);
            }
            Completion::Answered { .. } => self.succeed(now, was_full),
            Completion::Cancelled => {}
            Completion::Failed => self.successes = 0,
            Completion::Shed => self.collapse(now),
        }
    }

    fn restart(&mut self, now: Duration, slots: u32) {
        self.slots = slots;
        self.running.clear();
        self.collapse(now);
    }

    fn tick(&mut self, now: Duration) {
        let Some(slow_above) = self.baseline.slow_above() else {
            return;
        };
        let silent_above = (slow_above * SILENT_RATIO).max(SILENT_TIME);
        let is_silent = |start: &Duration| now.saturating_sub(*start) > silent_above;
        let silent = self
            .running
            .values()
            .filter(|start| is_silent(start))
            .count();
        if silent >= 2 && silent * 2 >= self.running.len() {
            self.collapse(now);
        }
    }
}
