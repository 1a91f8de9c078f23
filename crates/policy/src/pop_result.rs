//! What leaves a queue.

use crate::QueuedRequest;

/// What leaves a queue when a request can be dispatched.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PopResult<T> {
    /// Requests whose deadline has passed, to be refused as not run.
    pub expired: Vec<QueuedRequest<T>>,
    /// Request to dispatch, unless the queue is empty.
    pub next: Option<QueuedRequest<T>>,
}
