//! Queue of requests to an upstream.

use std::fmt::Debug;
use std::time::Duration;

use crate::PopResult;
use crate::PushResult;
use crate::QueuedRequest;
use crate::RequestClass;

/// Queue of requests that decides in which order they are dispatched to an upstream.
pub trait Queue: Debug {
    /// Payload of a request.
    type Item;

    /// Returns the number of requests that would be dispatched before a new one with the given rank and
    /// class.
    fn count_ahead(&self, _rank: u32, _class: RequestClass) -> usize {
        self.len()
    }

    /// Returns the number of requests in the queue.
    fn len(&self) -> usize;

    /// Reports whether the queue has no requests.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes the next request to dispatch, and requests whose deadline has passed.
    fn pop(&mut self, now: Duration) -> PopResult<Self::Item>;

    /// Adds a request.
    fn push(&mut self, request: QueuedRequest<Self::Item>) -> PushResult<Self::Item>;

    /// Removes a request, for example when it has been cancelled.
    fn remove(&mut self, id: &str) -> Option<QueuedRequest<Self::Item>>;

    /// Removes all requests of a workspace, for example when its access ends.
    fn remove_workspace(&mut self, workspace: &str) -> Vec<QueuedRequest<Self::Item>> {
        self.take_matching(&|request| request.workspace == workspace)
    }

    /// Removes all requests whose deadline has passed.
    fn take_expired(&mut self, now: Duration) -> Vec<QueuedRequest<Self::Item>> {
        self.take_matching(&|request| now >= request.deadline)
    }

    /// Removes all requests for which `matches` returns true.
    fn take_matching(
        &mut self,
        matches: &dyn Fn(&QueuedRequest<Self::Item>) -> bool,
    ) -> Vec<QueuedRequest<Self::Item>>;
}
