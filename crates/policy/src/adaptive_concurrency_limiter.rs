//! Concurrency limit that adapts to the state of the upstream.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Completion;
use crate::ConcurrencyLimiter;
use crate::Ticket;
use crate::WarmUpRamp;
use crate::latency_baseline::LatencyBaseline;

/// Length of the ramp in percent of the longest warm-up time of an upstream.
const RAMP_PERCENT: u32 = 140;

/// A running request is overdue once it takes longer than this multiple of the slow-latency threshold.
const OVERDUE_RATIO: u32 = 2;

/// Minimum running time of an overdue request.
const MIN_OVERDUE_TIME: Duration = Duration::from_millis(100);

/// Concurrency limit that starts at 1 on a cold upstream, grows while requests succeed, and drops to 1 when
/// the upstream sheds load or its latency jumps.
///
/// The limit is bounded by a [`WarmUpRamp`] and by the upstream's slots. Within these bounds it grows by 1
/// after as many successful answers as the current limit. Only answers that arrive while the limit is
/// fully used count.
#[derive(Clone, Debug)]
pub struct AdaptiveConcurrencyLimiter {
    baseline: LatencyBaseline,
    /// Limit reached by successful answers since the last reset.
    grown_limit: u32,
    next_ticket: Ticket,
    ramp: WarmUpRamp,
    running: BTreeMap<Ticket, Duration>,
    slots: u32,
    successes: u32,
    warm_up: Duration,
}

impl AdaptiveConcurrencyLimiter {
    /// Creates the limiter of an upstream that has `slots`, starts cold, and is warm after `warm_up`.
    pub fn new(now: Duration, slots: u32, warm_up: Duration) -> Self {
        Self {
            baseline: LatencyBaseline::default(),
            grown_limit: 1,
            next_ticket: 0,
            ramp: WarmUpRamp::new(now, warm_up * RAMP_PERCENT / 100),
            running: BTreeMap::new(),
            slots,
            successes: 0,
            warm_up,
        }
    }

    fn reset(&mut self, now: Duration) {
        self.grown_limit = 1;
        self.successes = 0;
        self.baseline = LatencyBaseline::default();
        self.ramp = WarmUpRamp::new(now, self.warm_up * RAMP_PERCENT / 100);
    }

    fn record_success(&mut self, now: Duration, was_full: bool) {
        if !was_full || self.grown_limit > self.ramp.allowed_load(now, self.slots) {
            return;
        }
        self.successes += 1;
        if self.successes >= self.grown_limit {
            self.successes = 0;
            self.grown_limit = self.slots.min(self.grown_limit + 1);
        }
    }
}

impl ConcurrencyLimiter for AdaptiveConcurrencyLimiter {
    fn acquire(&mut self, now: Duration) -> Option<Ticket> {
        if self.in_flight() >= self.limit(now) {
            return None;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.running.insert(ticket, now);
        Some(ticket)
    }

    fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    fn limit(&self, now: Duration) -> u32 {
        let ramp_limit = self.ramp.allowed_load(now, self.slots);
        self.grown_limit.min(ramp_limit).min(self.slots)
    }

    fn release(&mut self, now: Duration, ticket: Ticket, completion: Completion) {
        let was_full = self.in_flight() >= self.limit(now);
        if self.running.remove(&ticket).is_none() {
            return;
        }
        match completion {
            Completion::Answered { latency } if self.baseline.observe(now, latency) => {
                self.reset(now);
            }
            Completion::Answered { .. } => self.record_success(now, was_full),
            Completion::Cancelled => {}
            Completion::Failed => self.successes = 0,
            Completion::Shed => self.reset(now),
        }
    }

    fn restart(&mut self, now: Duration, slots: u32) {
        self.slots = slots;
        self.running.clear();
        self.reset(now);
    }

    fn tick(&mut self, now: Duration) {
        let Some(slow_threshold) = self.baseline.slow_threshold() else {
            return;
        };
        let overdue_threshold = (slow_threshold * OVERDUE_RATIO).max(MIN_OVERDUE_TIME);
        let is_overdue = |start: &Duration| now.saturating_sub(*start) > overdue_threshold;
        let overdue = self
            .running
            .values()
            .filter(|start| is_overdue(start))
            .count();
        if overdue >= 2 && overdue * 2 >= self.running.len() {
            self.reset(now);
        }
    }
}
