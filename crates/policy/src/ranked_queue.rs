//! Queue ordered by rank.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::fmt::Debug;
use std::time::Duration;

use crate::PopResult;
use crate::PushResult;
use crate::Queue;
use crate::QueuedRequest;

/// One of this many dispatches takes the oldest request whatever its rank, so that no rank starves.
const FAIRNESS_INTERVAL: u32 = 8;

/// Queue that dispatches the most urgent requests first, and those of one rank in order of arrival.
///
/// One in eight dispatches takes the request that has waited longest, whatever its rank.
#[derive(Clone, Debug)]
pub struct RankedQueue<T> {
    queues: BTreeMap<u32, VecDeque<(u64, QueuedRequest<T>)>>,
    next_number: u64,
    total: usize,
    turn: u32,
}

impl<T> RankedQueue<T> {
    /// Creates an empty queue of at most `total` requests.
    pub fn new(total: usize) -> Self {
        Self {
            queues: BTreeMap::new(),
            next_number: 0,
            total,
            turn: 0,
        }
    }

    fn remove_empty_queues(&mut self) {
        self.queues.retain(|_, queue| !queue.is_empty());
    }

    /// Counts a dispatch, and returns the rank whose oldest request is dispatched next.
    fn select_rank(&mut self) -> Option<u32> {
        self.turn = (self.turn + 1) % FAIRNESS_INTERVAL;
        if self.turn != 0 {
            return self.queues.keys().next().copied();
        }
        let oldest = |(rank, queue): (&u32, &VecDeque<(u64, QueuedRequest<T>)>)| {
            Some((queue.front().map(|(number, _)| *number)?, *rank))
        };
        self.queues
            .iter()
            .filter_map(oldest)
            .min()
            .map(|(_, rank)| rank)
    }
}

impl<T: Debug> Queue for RankedQueue<T> {
    type Item = T;

    fn count_ahead(&self, rank: u32) -> usize {
        self.queues
            .range(..=rank)
            .map(|(_, queue)| queue.len())
            .sum()
    }

    fn len(&self) -> usize {
        self.queues.values().map(VecDeque::len).sum()
    }

    fn pop(&mut self, now: Duration) -> PopResult<T> {
        let expired = self.take_expired(now);
        let rank = self.select_rank();
        let next = rank.and_then(|rank| self.queues.get_mut(&rank)?.pop_front());
        self.remove_empty_queues();
        PopResult {
            expired,
            next: next.map(|(_, request)| request),
        }
    }

    fn push(&mut self, request: QueuedRequest<T>) -> PushResult<T> {
        if self.len() >= self.total {
            return PushResult::Full(request);
        }
        let number = self.next_number;
        self.next_number += 1;
        let queue = self.queues.entry(request.rank).or_default();
        queue.push_back((number, request));
        PushResult::Accepted
    }

    fn remove(&mut self, id: &str) -> Option<QueuedRequest<T>> {
        self.take_matching(&|request| request.id == id).pop()
    }

    fn take_matching(
        &mut self,
        matches: &dyn Fn(&QueuedRequest<T>) -> bool,
    ) -> Vec<QueuedRequest<T>> {
        let mut taken = Vec::new();
        for queue in self.queues.values_mut() {
            for (number, request) in std::mem::take(queue) {
                if matches(&request) {
                    taken.push(request);
                } else {
                    queue.push_back((number, request));
                }
            }
        }
        self.remove_empty_queues();
        taken
    }
}
