//! Baseline queue in order of arrival.

use std::collections::VecDeque;
use std::fmt::Debug;
use std::time::Duration;

use crate::PopResult;
use crate::PushResult;
use crate::Queue;
use crate::QueuedRequest;

/// Baseline queue that dispatches requests in order of arrival.
#[derive(Clone, Debug)]
pub struct FifoQueue<T> {
    queue: VecDeque<QueuedRequest<T>>,
    total: usize,
}

impl<T> FifoQueue<T> {
    /// Creates an empty queue of at most `total` requests.
    pub fn new(total: usize) -> Self {
        Self {
            queue: VecDeque::new(),
            total,
        }
    }
}

impl<T: Debug> Queue for FifoQueue<T> {
    type Item = T;

    fn len(&self) -> usize {
        self.queue.len()
    }

    fn pop(&mut self, now: Duration) -> PopResult<T> {
        let mut expired = Vec::new();
        while let Some(request) = self.queue.pop_front() {
            if now < request.deadline {
                return PopResult {
                    expired,
                    next: Some(request),
                };
            }
            expired.push(request);
        }
        PopResult {
            expired,
            next: None,
        }
    }

    fn push(&mut self, request: QueuedRequest<T>) -> PushResult<T> {
        if self.queue.len() >= self.total {
            return PushResult::Full(request);
        }
        self.queue.push_back(request);
        PushResult::Accepted
    }

    fn remove(&mut self, id: &str) -> Option<QueuedRequest<T>> {
        let index = self.queue.iter().position(|request| request.id == id)?;
        self.queue.remove(index)
    }

    fn take_matching(
        &mut self,
        matches: &dyn Fn(&QueuedRequest<T>) -> bool,
    ) -> Vec<QueuedRequest<T>> {
        let (taken, kept) = self.queue.drain(..).partition(matches);
        self.queue = kept;
        VecDeque::into(taken)
    }
}
