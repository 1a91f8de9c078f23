//! Rate limits of workspaces, from the plans in force.

use cluster::Fleet;
use policy::RateLimit;

use crate::shared::Shared;

/// Returns the rate limit of a workspace, or `None` for one that has no plan.
pub(crate) fn plan_limit(shared: &Shared, fleet: &Fleet, workspace: &str) -> Option<RateLimit> {
    let plan = fleet.plan_of(workspace)?;
    let limit = RateLimit {
        burst_requests: plan.burst_requests,
        rate_requests_per_second: plan.rate_requests_per_second,
    };
    Some(match &shared.rate_tolerance {
        Some(tolerance) => tolerance.apply_to(limit),
        None => limit,
    })
}
