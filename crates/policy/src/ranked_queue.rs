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
/// One in `FAIRNESS_INTERVAL` dispatches takes the request that has waited longest, whatever its
/// rank.
#[derive(Clone, Debug)]
pub struct RankedQueue<T> {
    lanes: BTreeMap<u32, VecDeque<(u64, QueuedRequest<T>)>>,
    next_number: u64,
    total: usize,
    turn: u32,
}

impl<T> RankedQueue<T> {
    /// Creates an empty queue of at most `total` requests.
    pub fn new(total: usize) -> Self {
        Self {
            lanes: BTreeMap::new(),
            next_number: 0,
            total,
            turn: 0,
        }
    }

    fn remove_matching(
        &mut self,
        matches: impl Fn(&QueuedRequest<T>) -> bool,
    ) -> Vec<QueuedRequest<T>> {
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
        self.drop_empty_lanes();
        taken
    }

    fn drop_empty_lanes(&mut self) {
        self.lanes.retain(|_, lane| !lane.is_empty());
    }

    /// Advances the turn, and returns the rank whose oldest request is dispatched next.
    fn select_rank(&mut self) -> Option<u32> {
        self.turn = (self.turn + 1) % FAIRNESS_INTERVAL;
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
        let rank = self.select_rank();
        let next = rank.and_then(|rank| self.lanes.get_mut(&rank)?.pop_front());
        self.drop_empty_lanes();
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
        let lane = self.lanes.entry(request.rank).or_default();
        lane.push_back((number, request));
        PushResult::Accepted
    }

    fn remove(&mut self, id: &str) -> Option<QueuedRequest<T>> {
        self.remove_matching(|request| request.id == id).pop()
    }

    fn remove_workspace(&mut self, workspace: &str) -> Vec<QueuedRequest<T>> {
        self.remove_matching(|request| request.workspace == workspace)
    }

    fn take_expired(&mut self, now: Duration) -> Vec<QueuedRequest<T>> {
        if self.lanes.is_empty() {
            return Vec::new();
        }
        self.remove_matching(|request| now >= request.deadline)
    }
}
