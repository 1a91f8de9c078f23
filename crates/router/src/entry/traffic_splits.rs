//! Shares of the targets of routes.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use config::HostRoute;
use ids::ServiceId;

/// Gives each target of a route its share of the requests, by smooth weighted round robin.
#[derive(Debug, Default)]
pub(crate) struct TrafficSplits {
    credits: Mutex<BTreeMap<ServiceId, BTreeMap<ServiceId, i64>>>,
}

impl TrafficSplits {
    /// Returns the service that takes the next request of a route. The route is known by its host and prefix.
    pub(crate) fn next(&self, host: &str, route: &HostRoute) -> Option<ServiceId> {
        if let [only] = route.targets.as_slice() {
            return Some(only.service.clone());
        }
        let name = format!("{host}{}", route.prefix);
        let mut credits = self.credits.lock().unwrap_or_else(PoisonError::into_inner);
        let credits = credits.entry(name).or_default();
        credits.retain(|service, _| route.targets.iter().any(|one| one.service == *service));
        let mut total = 0;
        for target in &route.targets {
            let weight = i64::from(target.weight);
            total += weight;
            *credits.entry(target.service.clone()).or_default() += weight;
        }
        let weighted = route.targets.iter().filter(|target| target.weight > 0);
        let chosen = weighted.max_by_key(|target| credits.get(&target.service).copied())?;
        *credits.entry(chosen.service.clone()).or_default() -= total;
        Some(chosen.service.clone())
    }
}
