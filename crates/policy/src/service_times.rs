//! Service times of requests on one upstream.

use std::collections::BTreeMap;
use std::time::Duration;

/// The newest request contributes one part in this many to a mean.
const NEWEST_WEIGHT_DIVISOR: u32 = 16;

/// A request may always wait for one part in this many of its target latency.
///
/// A refusal after such a short wait costs the caller hardly any time.
const MIN_WAIT_DIVISOR: u32 = 8;

/// Moving means of the service times on one upstream.
///
/// They are kept by the target latency of the routes, since routes differ in their work.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    overall_mean: Option<Duration>,
    mean_by_target: BTreeMap<Duration, Duration>,
}

impl ServiceTimes {
    /// Records the service time of a request whose route has the target latency `target`.
    pub fn observe(&mut self, target: Duration, service_time: Duration) {
        let mean = self.mean_by_target.entry(target).or_insert(service_time);
        *mean = update_mean(*mean, service_time);
        self.overall_mean = Some(
            self.overall_mean
                .map_or(service_time, |mean| update_mean(mean, service_time)),
        );
    }

    /// Returns the mean service time of all requests, or `None` before the first.
    pub fn mean(&self) -> Option<Duration> {
        self.overall_mean
    }

    /// Discards all times when the upstream is replaced, since those of another one differ.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the time until which a request behind `ahead` others waits for one of `slots`.
    ///
    /// Returns `None` if the request is expected to get a slot too late. `target` is the target latency
    /// of its route, and `remaining` is the part of it that is left.
    pub fn wait_deadline(
        &self,
        now: Duration,
        target: Duration,
        remaining: Duration,
        ahead: usize,
        slots: u32,
    ) -> Option<Duration> {
        let until = now + self.max_wait(target, remaining);
        (now + self.expected_wait(ahead, slots) < until).then_some(until)
    }

    /// Returns the time until which a call behind `ahead` others waits for one of `slots`.
    ///
    /// Returns `None` if the call is expected to get a slot too late. The call waits as long as its answer
    /// is expected before `deadline`, the time limit of its parent, whatever the target latency of its
    /// route.
    pub fn call_wait_deadline(
        &self,
        now: Duration,
        target: Duration,
        deadline: Duration,
        ahead: usize,
        slots: u32,
    ) -> Option<Duration> {
        let until = now + self.max_wait(target, deadline.saturating_sub(now));
        let until = until.min(deadline);
        (now + self.expected_wait(ahead, slots) < until).then_some(until)
    }

    /// Returns how long a request may wait and, on average, still meet its target latency.
    ///
    /// The result is never less than `target / MIN_WAIT_DIVISOR`.
    fn max_wait(&self, target: Duration, remaining: Duration) -> Duration {
        let service_time = self
            .mean_by_target
            .get(&target)
            .or(self.overall_mean.as_ref());
        let remaining = remaining.saturating_sub(service_time.copied().unwrap_or_default());
        remaining.max(target / MIN_WAIT_DIVISOR)
    }

    /// Returns the expected time for which a request behind `ahead` others waits for one of `slots`.
    fn expected_wait(&self, ahead: usize, slots: u32) -> Duration {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let service_time = self.overall_mean.unwrap_or_default();
        service_time.saturating_mul(ahead) / slots.max(1)
    }
}

fn update_mean(mean: Duration, service_time: Duration) -> Duration {
    (mean * (NEWEST_WEIGHT_DIVISOR - 1) + service_time) / NEWEST_WEIGHT_DIVISOR
}
