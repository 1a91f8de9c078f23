//! Rate limit of the requests that start on an upstream.

use std::time::Duration;

/// Time whose share of the rate may start at once after a pause, if that is more than one request.
const BURST_TIME: Duration = Duration::from_millis(20);

/// Longest time between two requests. Only an answer can tell that the upstream accepts a higher rate again.
const MAX_INTERVAL: Duration = Duration::from_secs(5);

/// Limits the rate of requests that start on an upstream, which has a limit while it is cold, and one that it states itself.
///
/// Requests are evenly spaced at the lower of the two rates. After a pause one request, or the share of [`BURST_TIME`] if that is
/// more, may be early. No credit accumulates beyond that.
#[derive(Clone, Debug, Default)]
pub struct StartRateLimiter {
    cold_until: Duration,
    cold_requests_per_second: u32,
    next_at: Duration,
    stated_requests_per_second: Option<f64>,
}

impl StartRateLimiter {
    /// Sets the number of requests per second that a cold upstream can serve, or 0 if it needs no limit.
    pub fn set_cold_rate(&mut self, requests_per_second: u32) {
        self.cold_requests_per_second = requests_per_second;
    }

    /// Sets the number of requests per second that the upstream states it accepts, at least 0, or `None` if it states no
    /// limit.
    pub fn set_stated_rate(&mut self, now: Duration, requests_per_second: Option<f64>) {
        self.stated_requests_per_second = requests_per_second;
        let interval = self.interval(now).unwrap_or_default();
        self.next_at = self.next_at.min(now + interval);
    }

    /// Returns the number of requests per second that the upstream states it accepts.
    pub fn stated_rate(&self) -> Option<f64> {
        self.stated_requests_per_second
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
        now < self.cold_until && self.cold_requests_per_second > 0
    }

    /// Returns the number of requests per second that the upstream can serve now because it is cold, or `None` if it is not.
    pub fn cold_rate(&self, now: Duration) -> Option<u32> {
        self.is_cold(now).then_some(self.cold_requests_per_second)
    }

    /// Reports whether a request may be sent.
    pub fn allows(&self, now: Duration) -> bool {
        self.delay(now, 0).is_zero()
    }

    /// Returns how long a request behind `ahead` others waits at least.
    pub fn delay(&self, now: Duration, ahead: usize) -> Duration {
        let Some(interval) = self.interval(now) else {
            return Duration::ZERO;
        };
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        self.next_at.saturating_sub(now) + interval.saturating_mul(ahead)
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, now: Duration) {
        if let Some(interval) = self.interval(now) {
            let credit = interval.max(BURST_TIME);
            self.next_at = self.next_at.max(now.saturating_sub(credit)) + interval;
        }
    }

    /// Returns the time between two requests, or `None` if the rate is not limited.
    fn interval(&self, now: Duration) -> Option<Duration> {
        let cold = self.is_cold(now).then_some(self.cold_requests_per_second);
        let cold = cold.map(|rate| Duration::from_secs(1) / rate);
        let stated = self.stated_requests_per_second.map(interval_of);
        cold.max(stated)
    }
}

/// Returns the time between two requests at a rate, at most [`MAX_INTERVAL`].
fn interval_of(requests_per_second: f64) -> Duration {
    let seconds = (1.0 / requests_per_second).min(MAX_INTERVAL.as_secs_f64());
    Duration::from_secs_f64(seconds)
}
