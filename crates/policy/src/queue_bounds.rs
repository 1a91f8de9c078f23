//! Bounds of a queue's length.

use serde::Deserialize;
use serde::Serialize;

/// Bounds of a queue's length.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueueBounds {
    /// Maximum number of requests of one workspace.
    pub per_workspace: usize,
    /// Maximum number of requests in total.
    pub total: usize,
}
