//! Calls that the requests of one route make.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::ServiceId;

/// Time constant of the decay of counts.
const DECAY_TIME: Duration = Duration::from_secs(30);

/// Smallest number of requests from which an average is taken.
const MIN_PARENTS: f64 = 5.0;

/// Decayed numbers of the requests of one route and of the calls that they made.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteCalls {
    calls: BTreeMap<ServiceId, f64>,
    parents: f64,
    updated_at: Duration,
}

impl RouteCalls {
    pub(crate) fn record_parent(&mut self, now: Duration) {
        self.decay(now);
        self.parents += 1.0;
    }

    pub(crate) fn record_call(&mut self, now: Duration, service: &ServiceId) {
        self.decay(now);
        *self.calls.entry(service.clone()).or_default() += 1.0;
    }

    /// Returns the services that requests of the route call, with the average number of calls of each request.
    ///
    /// Returns none while too few requests have been observed.
    pub(crate) fn averages(&self, now: Duration) -> impl Iterator<Item = (&ServiceId, f64)> {
        let parents = self.parents * self.decay_factor(now);
        let is_known = parents >= MIN_PARENTS;
        let calls = self.calls.iter().filter(move |_| is_known);
        // Both counts have decayed alike.
        calls.map(|(service, calls)| (service, calls / self.parents))
    }

    /// Returns the time of the last change.
    pub(crate) fn updated_at(&self) -> Duration {
        self.updated_at
    }

    fn decay(&mut self, now: Duration) {
        let factor = self.decay_factor(now);
        self.updated_at = self.updated_at.max(now);
        self.parents *= factor;
        for calls in self.calls.values_mut() {
            *calls *= factor;
        }
    }

    fn decay_factor(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at);
        (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }
}
