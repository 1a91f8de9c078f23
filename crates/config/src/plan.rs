//! Plan that sets the limits of workspaces.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use ids::ServiceId;
use serde::Deserialize;
use serde::Serialize;

use crate::DocumentError;
use crate::Service;
use crate::check::check_range;

/// Largest burst of a plan, in requests.
pub const MAX_BURST_REQUESTS: u32 = 100_000_000;

/// Largest rate of a plan, in requests per second.
pub const MAX_RATE_REQUESTS_PER_SECOND: u32 = 10_000_000;

/// Largest weight of a plan.
pub const MAX_WEIGHT: u32 = 10_000;

/// Limits and services of each workspace on a plan.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Requests that may be sent at once, across the whole fleet.
    pub burst_requests: u32,
    /// Rank of the requests, which takes precedence over that of their route; 0 is the most urgent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u32>,
    /// Requests per second, across the whole fleet.
    pub rate_requests_per_second: u32,
    /// Services that the plan grants.
    #[serde(deserialize_with = "crate::unique::set")]
    pub services: BTreeSet<ServiceId>,
    /// Share of a busy upstream's capacity, relative to other workspaces.
    pub weight: u32,
}

impl Plan {
    pub(crate) fn check(
        &self,
        path: &str,
        services: &BTreeMap<ServiceId, Service>,
    ) -> Result<(), DocumentError> {
        let numbers = [
            ("burst_requests", self.burst_requests, MAX_BURST_REQUESTS),
            (
                "rate_requests_per_second",
                self.rate_requests_per_second,
                MAX_RATE_REQUESTS_PER_SECOND,
            ),
            ("weight", self.weight, MAX_WEIGHT),
        ];
        for (field, value, max) in numbers {
            check_range(format!("{path}.{field}"), value, 1..=max)?;
        }
        match self
            .services
            .iter()
            .find(|service| !services.contains_key(*service))
        {
            None => Ok(()),
            Some(unknown) => Err(DocumentError::value(
                format!("{path}.services"),
                format!("service `{unknown}` is not declared"),
                "declare it under `services` or correct its name",
            )),
        }
    }
}
