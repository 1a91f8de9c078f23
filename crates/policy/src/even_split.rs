//! Baseline rate limiter without coordination.

use std::time::Duration;

use crate::Admission;
use crate::Batch;
use crate::RateLimit;
use crate::RateLimiter;
use crate::RateLimiterStep;
use crate::Ticket;

/// Baseline that gives every entry an equal part of the rate limit and sends no messages.
#[derive(Clone, Debug)]
pub struct EvenSplit {
    entries: u32,
    level: f64,
    limit: RateLimit,
    refilled_at: Duration,
}

impl EvenSplit {
    /// Creates the limiter of one of `entries` entries, with its full burst available.
    ///
    /// # Panics
    ///
    /// Panics if `entries` is 0.
    pub fn new(now: Duration, limit: RateLimit, entries: u32) -> Self {
        assert!(entries > 0, "a fleet has at least one entry");
        Self {
            entries,
            level: f64::from(limit.burst_requests) / f64::from(entries),
            limit,
            refilled_at: now,
        }
    }

    fn rate(&self) -> f64 {
        f64::from(self.limit.rate_requests_per_second) / f64::from(self.entries)
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        let burst = f64::from(self.limit.burst_requests) / f64::from(self.entries);
        self.level = (self.level + elapsed.as_secs_f64() * self.rate()).min(burst.max(1.0));
        self.refilled_at = now;
    }
}

impl RateLimiter for EvenSplit {
    fn admit(&mut self, now: Duration, _ticket: Ticket) -> Admission {
        self.refill(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Admission::Admitted;
        }
        let rate = self.rate().max(f64::MIN_POSITIVE);
        let seconds = ((1.0 - self.level) / rate).min(3_600.0);
        Admission::Refused {
            retry_after: Duration::from_secs_f64(seconds),
        }
    }

    fn receive_batch(&mut self, _now: Duration, _request_id: u64, _batch: &Batch) {}

    fn cancel(&mut self, _ticket: Ticket) {}

    fn fail_request(&mut self, _now: Duration, _request_id: u64) {}

    fn poll(&mut self, _now: Duration) -> Vec<RateLimiterStep> {
        Vec::new()
    }

    fn set_limit(&mut self, now: Duration, limit: RateLimit) {
        self.refill(now);
        self.limit = limit;
        self.refill(now);
    }

    fn wake_at(&self) -> Option<Duration> {
        None
    }
}
