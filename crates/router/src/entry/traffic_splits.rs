//! Distribution of requests over the targets of a route.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use config::HostRoute;
use ids::ServiceId;

/// Distributes the requests of each route over its targets by smooth weighted round robin.
#[derive(Debug, Default)]
pub(crate) struct TrafficSplits {
    /// Current weights of the targets, by host and prefix of the route and by service.
    current_weights: Mutex<BTreeMap<String, BTreeMap<ServiceId, i64>>>,
}

impl TrafficSplits {
    /// Returns the service that the next request of a route goes to. Routes are identified by host and prefix.
    pub(crate) fn next_service(&self, host: &str, route: &HostRoute) -> Option<ServiceId> {
        if let [only] = route.targets.as_slice() {
            return Some(only.service.clone());
        }
        let route_id = format!("{host}{}", route.prefix);
        let mut current_weights = self
            .current_weights
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let current_weights = current_weights.entry(route_id).or_default();
        current_weights.retain(|service, _| {
            route
                .targets
                .iter()
                .any(|target| target.service == *service)
        });
        let mut total_weight = 0;
        for target in &route.targets {
            let weight = i64::from(target.weight);
            total_weight += weight;
            *current_weights.entry(target.service.clone()).or_default() += weight;
        }
        let weighted = route.targets.iter().filter(|target| target.weight > 0);
        let chosen = weighted.max_by_key(|target| current_weights.get(&target.service).copied())?;
        *current_weights.entry(chosen.service.clone()).or_default() -= total_weight;
        Some(chosen.service.clone())
    }
}
