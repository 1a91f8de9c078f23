//! Evidence about one upstream.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::RouteEvidence;

/// Cumulative counts of the answers of one upstream, which its home keeps while a roll-out of the service runs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UpstreamEvidence {
    /// Counts by the name of the route.
    pub routes: BTreeMap<String, RouteEvidence>,
}

impl UpstreamEvidence {
    /// Records an answer on `route` that is not a failure, after `time` on the upstream.
    pub fn record_answer(&mut self, route: &str, time: Duration) {
        self.route_mut(route).record_answer(time);
    }

    /// Records a failure on `route`.
    pub fn record_failure(&mut self, route: &str) {
        self.route_mut(route).record_failure();
    }

    fn route_mut(&mut self, route: &str) -> &mut RouteEvidence {
        if !self.routes.contains_key(route) {
            self.routes
                .insert(route.to_owned(), RouteEvidence::default());
        }
        self.routes.get_mut(route).expect("inserted if absent")
    }
}
