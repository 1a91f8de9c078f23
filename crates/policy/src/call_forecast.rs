//! Forecast whether the calls that new work will make are refused.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::ServiceId;

use crate::recent_calls::RecentCalls;
use crate::route_calls::RouteCalls;

/// Average number of calls of a request from which its route counts as one that will call the service.
const MIN_AVERAGE_CALLS: f64 = 0.5;

/// One of this many requests passes although its calls will probably be refused, so that recovery is
/// detected.
const PROBE_INTERVAL: u32 = 10;

/// Maximum number of routes for which calls are remembered.
const MAX_ROUTES: usize = 256;

/// Learns which routes make which calls, and forecasts from the outcomes of recent calls whether a new
/// request would fail for a refused call.
#[derive(Clone, Debug, Default)]
pub struct CallForecast {
    outcomes: BTreeMap<ServiceId, RecentCalls>,
    /// Number of requests that were to be refused, by route.
    refusable: BTreeMap<String, u32>,
    routes: BTreeMap<String, RouteCalls>,
}

impl CallForecast {
    /// Records that a request of a route begins to run, and may make calls.
    pub fn record_parent(&mut self, now: Duration, route: &str) {
        self.route(route).record_parent(now);
    }

    /// Records that a running request of a route has made a call.
    pub fn record_call(&mut self, now: Duration, route: &str, service: &ServiceId) {
        self.route(route).record_call(now, service);
    }

    /// Records how a call to a service ended.
    pub fn record_outcome(&mut self, now: Duration, service: &ServiceId, is_refused: bool) {
        let outcomes = self.outcomes.entry(service.clone()).or_default();
        outcomes.record(now, is_refused);
    }

    /// Reports whether a new request of a route is admitted.
    ///
    /// It is not if the route calls a service that refused more than a fifth of its calls in the last
    /// second. One in ten such requests is admitted.
    pub fn admits(&mut self, now: Duration, route: &str) -> bool {
        let outcomes = self.outcomes.iter_mut();
        let refusing: Vec<_> = outcomes
            .filter_map(|(service, recent)| recent.is_refusing(now).then_some(service))
            .collect();
        let Some(calls) = self.routes.get(route).filter(|_| !refusing.is_empty()) else {
            return true;
        };
        let will_fail = calls
            .averages(now)
            .any(|(service, average)| average >= MIN_AVERAGE_CALLS && refusing.contains(&service));
        if !will_fail {
            return true;
        }
        let refusable = self.refusable.entry(route.to_owned()).or_default();
        *refusable = (*refusable + 1) % PROBE_INTERVAL;
        *refusable == 0
    }

    /// Returns the calls of a route, and forgets the route that was not used for longest if there are too many.
    fn route(&mut self, route: &str) -> &mut RouteCalls {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            let oldest = self
                .routes
                .iter()
                .min_by_key(|(_, calls)| calls.updated_at());
            if let Some(oldest) = oldest.map(|(route, _)| route.clone()) {
                self.routes.remove(&oldest);
                self.refusable.remove(&oldest);
            }
        }
        self.routes.entry(route.to_owned()).or_default()
    }
}
