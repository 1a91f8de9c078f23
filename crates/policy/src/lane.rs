//! Requests of one workspace in a fair queue.

use std::collections::VecDeque;
use std::time::Duration;

use crate::QueuedRequest;

/// Turns without a request that a credit costs at most.
const LONGEST_CREDIT_TURNS: i64 = 64;

/// Requests of one workspace in a fair queue.
#[derive(Clone, Debug)]
pub(crate) struct Lane<T> {
    /// What the workspace has earned and not spent, below 0 after a request on credit.
    deficit: i64,
    is_new: bool,
    pub(crate) requests: VecDeque<QueuedRequest<T>>,
    pub(crate) weight: u32,
}

impl<T> Lane<T> {
    pub(crate) fn new(weight: u32) -> Self {
        Self {
            deficit: 0,
            is_new: true,
            requests: VecDeque::new(),
            weight,
        }
    }

    /// Earns a turn's weight, and spends `cost` on a request if that is enough, or if it is the first.
    pub(crate) fn earn(&mut self, cost: u32) -> bool {
        let cost = i64::from(cost);
        self.deficit += i64::from(self.weight);
        let spends = self.deficit >= cost || self.is_new;
        if spends {
            let least = -LONGEST_CREDIT_TURNS * i64::from(self.weight);
            self.deficit = (self.deficit - cost).max(least);
        }
        self.is_new = false;
        spends
    }

    /// Earns a turn's weight without requests, and returns whether a credit is still open.
    pub(crate) fn idle(&mut self) -> bool {
        self.deficit += i64::from(self.weight);
        self.deficit < 0
    }

    pub(crate) fn is_front_expired(&self, now: Duration) -> bool {
        let front = self.requests.front();
        front.is_some_and(|request| now >= request.deadline)
    }

    /// Returns the length in relation to the weight.
    pub(crate) fn relative_len(&self) -> f64 {
        self.requests.len() as f64 / f64::from(self.weight)
    }

    /// Takes out the requests that match.
    pub(crate) fn take(
        &mut self,
        matches: impl Fn(&QueuedRequest<T>) -> bool,
    ) -> Vec<QueuedRequest<T>> {
        let (taken, kept) = self.requests.drain(..).partition(matches);
        self.requests = kept;
        VecDeque::into(taken)
    }
}
