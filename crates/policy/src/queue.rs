//! Order in which requests are dispatched to an upstream.

use std::fmt::Debug;
use std::time::Duration;

use crate::PopResult;
use crate::PushResult;
use crate::QueuedRequest;

/// Order in which requests are dispatched to an upstream.
pub trait Queue: Debug {
    /// What is dispatched.
    type Item;

    /// Returns the number of requests that are dispatched before one of rank `rank` that arrives now.
    fn count_ahead(&self, _rank: u32) -> usize {
        self.len()
    }

    /// Returns the number of requests in the queue.
    fn len(&self) -> usize;

    /// Returns whether the queue has no requests.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes out the next request to dispatch, and requests whose deadline has passed.
    fn pop(&mut self, now: Duration) -> PopResult<Self::Item>;

    /// Adds a request.
    fn push(&mut self, request: QueuedRequest<Self::Item>) -> PushResult<Self::Item>;

    /// Takes out a request that was cancelled.
    fn remove(&mut self, id: &str) -> Option<QueuedRequest<Self::Item>>;

    /// Takes out all requests of a workspace, for example when its access ends.
    fn remove_workspace(&mut self, workspace: &str) -> Vec<QueuedRequest<Self::Item>>;

    /// Takes out all requests whose deadline has passed.
    fn take_expired(&mut self, now: Duration) -> Vec<QueuedRequest<Self::Item>>;
}
