//! Rate limit of requests to a cold upstream.

use std::time::Duration;

/// Limits the rate of requests to an upstream while it is cold.
///
/// Requests are evenly spaced, and at most one may be early, so no second has more requests than the rate plus 1.
#[derive(Clone, Debug, Default)]
pub struct ColdRateLimiter {
    cold_until: Duration,
    next_at: Duration,
    requests_per_second: u32,
}

impl ColdRateLimiter {
    /// Sets the number of requests per second that a cold upstream can serve, or 0 if it needs no limit.
    pub fn set_rate(&mut self, requests_per_second: u32) {
        self.requests_per_second = requests_per_second;
    }

    /// Extends the time until which the upstream is cold. An earlier time changes nothing.
    pub fn extend_cold_until(&mut self, until: Duration) {
        self.cold_until = self.cold_until.max(until);
    }

    /// Records that a new incarnation of the upstream has started, which is cold until `until`.
    pub fn restart(&mut self, until: Duration) {
        self.cold_until = until;
    }

    /// Reports whether the upstream is cold and its rate is limited.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until && self.requests_per_second > 0
    }

    /// Reports whether a request may be sent.
    pub fn allows(&self, now: Duration) -> bool {
        !self.is_cold(now) || now >= self.next_at
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, now: Duration) {
        if self.is_cold(now) {
            let interval = Duration::from_secs(1) / self.requests_per_second;
            self.next_at = self.next_at.max(now.saturating_sub(interval)) + interval;
        }
    }
}
