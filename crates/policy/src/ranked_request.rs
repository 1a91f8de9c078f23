//! Attributes that decide the rank of a request.

use crate::RankedWorkspace;

/// Attributes that decide the rank of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RankedRequest {
    /// Call of a running request.
    Call {
        /// Rank of the running request.
        parent_rank: u32,
    },
    /// Request that no running request is known to wait for.
    NewWork {
        /// Whether the target latency of the route can no longer be met.
        is_late: bool,
        /// Priority of the route.
        route_priority: u32,
        /// Workspace of the caller, absent on open routes.
        workspace: Option<RankedWorkspace>,
    },
}
