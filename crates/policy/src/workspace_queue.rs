//! Requests of one workspace in a fair queue.

use std::collections::VecDeque;
use std::time::Duration;

use crate::QueuedRequest;

/// Maximum number of turns without a request that it takes to pay back a credit.
const MAX_CREDIT_TURNS: i64 = 64;

/// Requests of one workspace in a fair queue.
#[derive(Clone, Debug)]
pub(crate) struct WorkspaceQueue<T> {
    /// Deficit counter of the deficit round robin. It is negative after a request on credit.
    deficit: i64,
    /// Whether the workspace has not had a turn yet.
    is_new: bool,
    pub(crate) requests: VecDeque<QueuedRequest<T>>,
    pub(crate) weight: u32,
}

impl<T> WorkspaceQueue<T> {
    pub(crate) fn new(weight: u32) -> Self {
        Self {
            deficit: 0,
            is_new: true,
            requests: VecDeque::new(),
            weight,
        }
    }

    /// Adds the weight to the deficit counter, and deducts `cost` if the counter covers it or this is the first turn.
    ///
    /// Returns whether the cost was deducted, so that a request may be dispatched. The first request is dispatched on
    /// credit if the counter does not cover its cost.
    pub(crate) fn take_turn(&mut self, cost: u32) -> bool {
        let cost = i64::from(cost);
        self.deficit += i64::from(self.weight);
        let dispatches = self.deficit >= cost || self.is_new;
        if dispatches {
            let min_deficit = -MAX_CREDIT_TURNS * i64::from(self.weight);
            self.deficit = (self.deficit - cost).max(min_deficit);
        }
        self.is_new = false;
        dispatches
    }

    /// Adds the weight to the deficit counter for a turn without requests, and returns whether it is still negative.
    pub(crate) fn skip_turn(&mut self) -> bool {
        self.deficit += i64::from(self.weight);
        self.deficit < 0
    }

    pub(crate) fn is_front_expired(&self, now: Duration) -> bool {
        let front = self.requests.front();
        front.is_some_and(|request| now >= request.deadline)
    }

    /// Returns the number of requests divided by the weight.
    pub(crate) fn relative_len(&self) -> f64 {
        self.requests.len() as f64 / f64::from(self.weight)
    }

    /// Removes and returns the requests that match.
    pub(crate) fn remove_matching(
        &mut self,
        matches: impl Fn(&QueuedRequest<T>) -> bool,
    ) -> Vec<QueuedRequest<T>> {
        let (taken, kept) = self.requests.drain(..).partition(matches);
        self.requests = kept;
        VecDeque::into(taken)
    }
}
