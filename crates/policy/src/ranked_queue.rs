//! Queue ordered by rank.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::fmt::Debug;
use std::time::Duration;

use crate::PopResult;
use crate::PushResult;
use crate::Queue;
use crate::QueuedRequest;
use crate::RequestClass;

/// One of this many dispatches takes the oldest request whatever its rank, so that no rank starves.
const FAIRNESS_INTERVAL: u32 = 8;

/// Rank and class of a request. The smallest one is dispatched first.
type Place = (u32, RequestClass);

/// Queue that dispatches the most urgent requests first, and those of one rank and class in order of
/// arrival.
///
/// One in eight dispatches takes the request that has waited longest, whatever its rank. A call that
/// arrives while the queue is full displaces the newest of the least urgent requests that are not calls.
#[derive(Clone, Debug)]
pub struct RankedQueue<T> {
    queues: BTreeMap<Place, VecDeque<(u64, QueuedRequest<T>)>>,
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

    /// Removes the newest of the least urgent requests that are not calls.
    fn remove_least_urgent(&mut self) -> Option<QueuedRequest<T>> {
        let mut queues = self.queues.iter_mut().rev();
        let (_, queue) = queues.find(|((_, class), _)| !class.is_call())?;
        let removed = queue.pop_back();
        self.remove_empty_queues();
        removed.map(|(_, request)| request)
    }

    /// Counts a dispatch, and returns the place whose oldest request is dispatched next.
    fn select_place(&mut self) -> Option<Place> {
        self.turn = (self.turn + 1) % FAIRNESS_INTERVAL;
        if self.turn != 0 {
            return self.queues.keys().next().copied();
        }
        let oldest = |(place, queue): (&Place, &VecDeque<(u64, QueuedRequest<T>)>)| {
            Some((queue.front().map(|(number, _)| *number)?, *place))
        };
        self.queues
            .iter()
            .filter_map(oldest)
            .min()
            .map(|(_, place)| place)
    }
}

impl<T: Debug> Queue for RankedQueue<T> {
    type Item = T;

    fn count_ahead(&self, rank: u32, class: RequestClass) -> usize {
        self.queues
            .range(..=(rank, class))
            .map(|(_, queue)| queue.len())
            .sum()
    }

    fn len(&self) -> usize {
        self.queues.values().map(VecDeque::len).sum()
    }

    fn pop(&mut self, now: Duration) -> PopResult<T> {
        let expired = self.take_expired(now);
        let place = self.select_place();
        let next = place.and_then(|place| self.queues.get_mut(&place)?.pop_front());
        self.remove_empty_queues();
        PopResult {
            expired,
            next: next.map(|(_, request)| request),
        }
    }

    fn push(&mut self, request: QueuedRequest<T>) -> PushResult<T> {
        let is_full = self.len() >= self.total;
        let displaced = match is_full && request.class.is_call() {
            true => self.remove_least_urgent(),
            false => None,
        };
        if is_full && displaced.is_none() {
            return PushResult::Full(request);
        }
        let number = self.next_number;
        self.next_number += 1;
        let queue = self.queues.entry((request.rank, request.class));
        queue.or_default().push_back((number, request));
        displaced.map_or(PushResult::Accepted, PushResult::Displaced)
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
