//! Recent demand at an entry.

use std::time::Duration;

/// Time over which demand is averaged.
const AVERAGING_TIME: Duration = Duration::from_millis(500);

/// Exponentially weighted rate of requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestRate {
    per_second: f64,
    updated: Duration,
}

impl RequestRate {
    /// Counts one request.
    pub(crate) fn record_request(&mut self, now: Duration) {
        self.per_second = self.requests_per_second(now) + 1.0 / AVERAGING_TIME.as_secs_f64();
        self.updated = now;
    }

    /// Returns the requests per second.
    pub(crate) fn requests_per_second(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.per_second * (-elapsed / AVERAGING_TIME.as_secs_f64()).exp()
    }
}
