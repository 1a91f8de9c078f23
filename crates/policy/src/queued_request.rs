//! Request in a queue.

use std::time::Duration;

use ids::RequestId;
use ids::WorkspaceId;

use crate::RequestClass;

/// Request in a queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest<T> {
    /// Class of the request among those of its rank.
    pub class: RequestClass,
    /// Time since the start of the process after which the caller no longer waits for the answer.
    pub deadline: Duration,
    /// Unique id of the request.
    pub id: RequestId,
    /// Payload that is dispatched.
    pub item: T,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u32,
    /// Weight of the workspace relative to others; 0 counts as 1.
    pub weight: u32,
    /// Workspace that sent the request, empty on routes open to all.
    pub workspace: WorkspaceId,
}
