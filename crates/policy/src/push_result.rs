//! Result of adding a request to a queue.

use crate::QueuedRequest;

/// Result of adding a request to a queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PushResult<T> {
    /// The request is in the queue.
    Accepted,
    /// The request is in the queue in place of another, which is to be refused as not run.
    Displaced(QueuedRequest<T>),
    /// The request is not in the queue, and is to be refused as not run.
    Full(QueuedRequest<T>),
}
