//! Result of adding a request to a queue.

use crate::QueuedRequest;

/// Result of adding a request to a queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PushResult<T> {
    /// The request has been added.
    Accepted,
    /// The request has been added in place of another, which must be refused as not run.
    Displaced(QueuedRequest<T>),
    /// The request has not been added, and must be refused as not run.
    Full(QueuedRequest<T>),
}
