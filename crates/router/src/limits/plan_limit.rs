//! Limits of workspaces, from the plans in force.

use cluster::Fleet;
use policy::Limit;

use crate::shared::Shared;

/// Returns the limit of a workspace, or `None` for one that has no plan.
pub(crate) fn plan_limit(shared: &Shared, fleet: &Fleet, workspace: &str) -> Option<Limit> {
    let plan = fleet.plan_of(workspace)?;
    let limit = Limit {
        burst_requests: plan.burst_requests,
        rate_requests_per_second: plan.rate_requests_per_second,
    };
    Some(match &shared.rate_tolerance {
        Some(tolerance) => tolerance.widen(limit),
        None => limit,
    })
}
