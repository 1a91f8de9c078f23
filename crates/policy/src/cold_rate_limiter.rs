//! The rate of requests to a cold upstream.

use std::time::Duration;

/// Holds back requests while an upstream is cold, so that it gets no more per second than it bears.
///
/// Requests are evenly spaced, and at most one may be early: in no second there are more than the rate and one.
#[derive(Clone, Debug, Default)]
pub struct ColdRateLimiter {
    cold_until: Duration,
    next: Duration,
    requests_per_second: u32,
}

impl ColdRateLimiter {
    /// Takes in how many requests per second a cold upstream bears; 0 if it bears as many as a warm one.
    pub fn set_rate(&mut self, requests_per_second: u32) {
        self.requests_per_second = requests_per_second;
    }

    /// Takes in until when the upstream is cold. A time before one that is known changes nothing.
    pub fn extend_cold_until(&mut self, until: Duration) {
        self.cold_until = self.cold_until.max(until);
    }

    /// Takes in that a new life of the upstream has begun, which is cold until the time given.
    pub fn restart(&mut self, until: Duration) {
        self.cold_until = until;
    }

    /// Tells whether the upstream is cold.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until && self.requests_per_second > 0
    }

    /// Tells whether a request may be sent.
    pub fn allows(&self, now: Duration) -> bool {
        !self.is_cold(now) || now >= self.next
    }

    /// Takes in that a request is sent.
    pub fn record_sent(&mut self, now: Duration) {
        if self.requests_per_second > 0 {
            let space = Duration::from_secs(1) / self.requests_per_second;
            self.next = self.next.max(now.saturating_sub(space)) + space;
        }
    }
}
