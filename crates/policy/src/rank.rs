//! Rank of requests by urgency.

/// Number of route priorities that are distinguished among requests of one workspace priority.
const ROUTE_RANKS: u32 = 256;

/// Returns the rank of a request; 0 is the most urgent.
///
/// The rank is ordered by the priority of the workspace, or by that of the route if the workspace has
/// none. Among requests of equal priority, those without a workspace come first: upstreams send them
/// while they run another request, whose work is lost without the answer. Then the priority of the
/// route decides, and last whether the target latency can still be met.
pub fn compute_rank(
    workspace_priority: Option<u32>,
    route_priority: u32,
    has_workspace: bool,
    is_late: bool,
) -> u32 {
    let priority = workspace_priority.unwrap_or(route_priority);
    let route_rank = 2 * route_priority.min(ROUTE_RANKS - 1) + u32::from(is_late);
    let workspace_rank = if has_workspace { 2 * ROUTE_RANKS } else { 0 };
    priority
        .saturating_mul(4 * ROUTE_RANKS)
        .saturating_add(workspace_rank + route_rank)
}
