//! Rank of requests by urgency.

use crate::RankedRequest;

/// Number of route priorities that are distinguished among requests of one workspace priority.
const ROUTE_RANKS: u32 = 256;

/// Number of ranks of one priority.
const PRIORITY_RANKS: u32 = 4 * ROUTE_RANKS;

/// Returns the rank of a request; 0 is the most urgent.
///
/// The rank is ordered by the priority of the workspace, or by that of the route if the workspace has
/// none. Among requests of equal priority, those without a workspace come first: upstreams send them
/// while they run another request, whose work is lost without the answer. Then the priority of the
/// route decides, and last whether the target latency can still be met.
///
/// A call has the first rank of its parent's priority. [`RequestClass`](crate::RequestClass) places it
/// before other requests of that rank.
pub fn compute_rank(request: &RankedRequest) -> u32 {
    let (is_late, route_priority, workspace) = match *request {
        RankedRequest::Call { parent_rank } => return parent_rank - parent_rank % PRIORITY_RANKS,
        RankedRequest::NewWork {
            is_late,
            route_priority,
            workspace,
        } => (is_late, route_priority, workspace),
    };
    let workspace_priority = workspace.and_then(|workspace| workspace.priority);
    let priority = workspace_priority.unwrap_or(route_priority);
    let route_rank = 2 * route_priority.min(ROUTE_RANKS - 1) + u32::from(is_late);
    let workspace_rank = workspace.map_or(0, |_| 2 * ROUTE_RANKS);
    priority
        .saturating_mul(PRIORITY_RANKS)
        .saturating_add(workspace_rank + route_rank)
}
