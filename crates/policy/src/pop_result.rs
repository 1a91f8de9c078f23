//! Requests that leave a queue together.

use crate::QueuedRequest;

/// Requests that leave a queue when one can be dispatched.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PopResult<T> {
    /// Requests whose deadline has passed, to be refused as not run.
    pub expired: Vec<QueuedRequest<T>>,
    /// Request to dispatch, unless the queue is empty.
    pub next: Option<QueuedRequest<T>>,
}
