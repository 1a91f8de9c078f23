//! A queue by rank.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::fmt::Debug;
use std::time::Duration;

use crate::PopResult;
use crate::PushResult;
use crate::Queue;
use crate::QueuedRequest;

/// Requests with a better rank that leave the queue for each one that leaves it out of turn, so that none starves.
const TURNS: u32 = 8;

/// Dispatches the most urgent requests first, and those of one rank in order of arrival.
///
/// One in [`TURNS`] requests is the one that has waited longest, whatever its rank.
#[derive(Clone, Debug)]
pub struct RankedQueue<T> {
    lanes: BTreeMap<u32, VecDeque<(u64, QueuedRequest<T>)>>,
    next: u64,
    total: usize,
    turn: u32,
}

impl<T> RankedQueue<T> {
    /// Creates an empty queue of at most `total` requests.
    pub fn new(total: usize) -> Self {
        Self {
            lanes: BTreeMap::new(),
            next: 0,
            total,
            turn: 0,
        }
    }

    fn take(&mut self, matches: impl Fn(&QueuedRequest<T>) -> bool) -> Vec<QueuedRequest<T>> {
        let mut taken = Vec::new();
        for lane in self.lanes.values_mut() {
            for (number, request) in std::mem::take(lane) {
                if matches(&request) {
                    taken.push(request);
                } else {
                    lane.push_back((number, request));
                }
            }
        }
        self.drop_empty();
        taken
    }

    fn drop_empty(&mut self) {
        self.lanes.retain(|_, lane| !lane.is_empty());
    }

    /// Returns the rank whose oldest request is dispatched next.
    fn next_rank(&mut self) -> Option<u32> {
        self.turn = (self.turn + 1) % TURNS;
        if self.turn != 0 {
            return self.lanes.keys().next().copied();
        }
        let oldest = |(rank, lane): (&u32, &VecDeque<(u64, QueuedRequest<T>)>)| {
            Some((lane.front().map(|(number, _)| *number)?, *rank))
        };
        self.lanes
            .iter()
            .filter_map(oldest)
            .min()
            .map(|(_, rank)| rank)
    }
}

impl<T: Debug> Queue for RankedQueue<T> {
    type Item = T;

    fn count_ahead(&self, rank: u32) -> usize {
        self.lanes.range(..=rank).map(|(_, lane)| lane.len()).sum()
    }

    fn len(&self) -> usize {
        self.lanes.values().map(VecDeque::len).sum()
    }

    fn pop(&mut self, now: Duration) -> PopResult<T> {
        let expired = self.take_expired(now);
        let rank = self.next_rank();
        let next = rank.and_then(|rank| self.lanes.get_mut(&rank)?.pop_front());
        self.drop_empty();
        PopResult {
            expired,
            next: next.map(|(_, request)| request),
        }
    }

    fn push(&mut self, request: QueuedRequest<T>) -> PushResult<T> {
        if self.len() >= self.total {
            return PushResult::Full(request);
        }
        let number = self.next;
        self.next += 1;
        let lane = self.lanes.entry(request.rank).or_default();
        lane.push_back((number, request));
        PushResult::Accepted
    }

    fn remove(&mut self, id: &str) -> Option<QueuedRequest<T>> {
        self.take(|request| request.id == id).pop()
    }

    fn remove_workspace(&mut self, workspace: &str) -> Vec<QueuedRequest<T>> {
        self.take(|request| request.workspace == workspace)
    }

    fn take_expired(&mut self, now: Duration) -> Vec<QueuedRequest<T>> {
        if self.lanes.is_empty() {
            return Vec::new();
        }
        self.take(|request| now >= request.deadline)
    }
}
