//! Recent request rate at an entry.

use std::time::Duration;

/// Time constant of the exponential average.
const AVERAGING_TIME: Duration = Duration::from_millis(500);

/// Exponentially weighted average of the request rate.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestRate {
    requests_per_second: f64,
    updated_at: Duration,
}

impl RequestRate {
    /// Records one request.
    pub(crate) fn record_request(&mut self, now: Duration) {
        self.requests_per_second =
            self.requests_per_second(now) + 1.0 / AVERAGING_TIME.as_secs_f64();
        self.updated_at = now;
    }

    /// Returns the average number of requests per second.
    pub(crate) fn requests_per_second(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.requests_per_second * (-elapsed / AVERAGING_TIME.as_secs_f64()).exp()
    }
}
