//! Queue that is fair among workspaces.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::fmt::Debug;
use std::time::Duration;

use ids::WorkspaceId;

use crate::PopResult;
use crate::PushResult;
use crate::Queue;
use crate::QueueBounds;
use crate::QueuedRequest;
use crate::workspace_queue::WorkspaceQueue;

/// Queue that shares dispatches among workspaces by weight, by deficit round robin.
///
/// In each round, the weight of a workspace with requests is added to its deficit counter, and a
/// request costs the largest weight among workspaces with requests. So the workspace with the largest
/// weight dispatches one request a round, and the dispatches of the others are spread evenly over the
/// rounds. A workspace that was not in the last round is served first, on credit, so that one within
/// its share hardly waits for others. When the queue is full, a new request displaces the newest
/// request of the workspace with the longest queue in relation to its weight.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    bounds: QueueBounds,
    /// Workspaces that were not in the last round, and are served first.
    new_workspaces: VecDeque<WorkspaceId>,
    queues: BTreeMap<WorkspaceId, WorkspaceQueue<T>>,
    len: usize,
    round: VecDeque<WorkspaceId>,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub fn new(bounds: QueueBounds) -> Self {
        Self {
            bounds,
            new_workspaces: VecDeque::new(),
            queues: BTreeMap::new(),
            len: 0,
            round: VecDeque::new(),
        }
    }

    fn request_cost(&self) -> u32 {
        let queues = self.queues.values();
        let weights = queues.filter(|queue| !queue.requests.is_empty());
        weights.map(|queue| queue.weight).max().unwrap_or(1)
    }

    fn add(&mut self, request: QueuedRequest<T>) {
        let weight = request.weight.max(1);
        let queue = match self.queues.get_mut(&request.workspace) {
            Some(queue) => queue,
            None => {
                self.new_workspaces.push_back(request.workspace.clone());
                let workspace = request.workspace.clone();
                self.queues
                    .entry(workspace)
                    .or_insert(WorkspaceQueue::new(weight))
            }
        };
        queue.weight = weight;
        queue.requests.push_back(request);
        self.len += 1;
    }

    /// Removes the newest request of the workspace with the longest queue in relation to its weight.
    ///
    /// Removes nothing if that is the workspace of `request`, or if the queue of the workspace of
    /// `request` would then be at least as long.
    fn displace_from_longest(&mut self, request: &QueuedRequest<T>) -> Option<QueuedRequest<T>> {
        let own = self.queues.get(&request.workspace);
        let own_len = own.map_or(0.0, WorkspaceQueue::relative_len);
        let own_len_after = own_len + 1.0 / f64::from(request.weight.max(1));
        let (workspace, longest) = self
            .queues
            .iter_mut()
            .max_by(|(_, a), (_, b)| a.relative_len().total_cmp(&b.relative_len()))?;
        if *workspace == request.workspace || longest.relative_len() <= own_len_after {
            return None;
        }
        let displaced = longest.requests.pop_back();
        self.len -= usize::from(displaced.is_some());
        displaced
    }

    /// Removes the next request in round-robin order, or an expired one of the next workspace.
    fn pop_next(&mut self, now: Duration) -> Option<QueuedRequest<T>> {
        if self.len == 0 {
            return None;
        }
        let cost = self.request_cost();
        loop {
            if let Some(workspace) = self.new_workspaces.pop_front() {
                self.round.push_front(workspace);
            }
            let workspace = self.round.front()?;
            let queue = self.queues.get_mut(workspace)?;
            if queue.requests.is_empty() {
                self.skip_empty_workspace();
                continue;
            }
            let is_expired = queue.is_front_expired(now);
            if !is_expired && !queue.take_turn(cost) {
                self.round.rotate_left(1);
                continue;
            }
            let request = queue.requests.pop_front();
            self.len -= usize::from(request.is_some());
            if !is_expired {
                self.round.rotate_left(1);
            }
            return request;
        }
    }

    /// Removes the next workspace, which has no requests, from the round, or moves it to the end while
    /// its deficit counter is negative.
    fn skip_empty_workspace(&mut self) {
        let Some(workspace) = self.round.pop_front() else {
            return;
        };
        let owes_credit = self
            .queues
            .get_mut(&workspace)
            .is_some_and(WorkspaceQueue::skip_turn);
        if owes_credit {
            self.round.push_back(workspace);
        } else {
            self.queues.remove(&workspace);
        }
    }
}

impl<T: Debug> Queue for FairQueue<T> {
    type Item = T;

    fn len(&self) -> usize {
        self.len
    }

    fn pop(&mut self, now: Duration) -> PopResult<T> {
        let mut expired = Vec::new();
        while let Some(request) = self.pop_next(now) {
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
        let queue = self.queues.get(&request.workspace);
        let queue_len = queue.map_or(0, |queue| queue.requests.len());
        if queue_len >= self.bounds.per_workspace {
            return PushResult::Full(request);
        }
        if self.len < self.bounds.total {
            self.add(request);
            return PushResult::Accepted;
        }
        match self.displace_from_longest(&request) {
            Some(displaced) => {
                self.add(request);
                PushResult::Displaced(displaced)
            }
            None => PushResult::Full(request),
        }
    }

    fn remove(&mut self, id: &str) -> Option<QueuedRequest<T>> {
        self.take_matching(&|request| request.id == id).pop()
    }

    fn take_matching(
        &mut self,
        matches: &dyn Fn(&QueuedRequest<T>) -> bool,
    ) -> Vec<QueuedRequest<T>> {
        let queues = self.queues.values_mut();
        let taken: Vec<_> = queues
            .flat_map(|queue| queue.remove_matching(matches))
            .collect();
        self.len -= taken.len();
        taken
    }
}
