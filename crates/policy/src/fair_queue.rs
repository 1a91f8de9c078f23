//! Order of dispatch that is fair among workspaces.

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
use crate::lane::Lane;

/// Queue that shares dispatches among workspaces by weight: deficit round robin.
///
/// In each round a workspace with requests earns its weight, and a request costs the largest weight
/// among workspaces with requests. So the heaviest workspace dispatches one request a round, and
/// dispatches of the others lie evenly between. A workspace without requests in the last round is
/// served first, on credit, so that one within its share hardly waits for others. When the queue is full, the workspace with the longest
/// queue in relation to its weight gives way.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    bounds: QueueBounds,
    /// Workspaces that were not in the last round.
    fresh: VecDeque<WorkspaceId>,
    lanes: BTreeMap<WorkspaceId, Lane<T>>,
    len: usize,
    round: VecDeque<WorkspaceId>,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub fn new(bounds: QueueBounds) -> Self {
        Self {
            bounds,
            fresh: VecDeque::new(),
            lanes: BTreeMap::new(),
            len: 0,
            round: VecDeque::new(),
        }
    }

    fn cost(&self) -> u32 {
        let lanes = self.lanes.values();
        let weights = lanes.filter(|lane| !lane.requests.is_empty());
        weights.map(|lane| lane.weight).max().unwrap_or(1)
    }

    fn add(&mut self, request: QueuedRequest<T>) {
        let weight = request.weight.max(1);
        let lane = match self.lanes.get_mut(&request.workspace) {
            Some(lane) => lane,
            None => {
                self.fresh.push_back(request.workspace.clone());
                let workspace = request.workspace.clone();
                self.lanes.entry(workspace).or_insert(Lane::new(weight))
            }
        };
        lane.weight = weight;
        lane.requests.push_back(request);
        self.len += 1;
    }

    /// Takes out the newest request of the workspace that exceeds its share the most, if that is not
    /// the workspace of `request`.
    fn displace(&mut self, request: &QueuedRequest<T>) -> Option<QueuedRequest<T>> {
        let own = self.lanes.get(&request.workspace);
        let own_len = own.map_or(0.0, Lane::relative_len);
        let own_len_after = own_len + 1.0 / f64::from(request.weight.max(1));
        let (workspace, longest) = self
            .lanes
            .iter_mut()
            .max_by(|(_, a), (_, b)| a.relative_len().total_cmp(&b.relative_len()))?;
        if *workspace == request.workspace || longest.relative_len() <= own_len_after {
            return None;
        }
        let displaced = longest.requests.pop_back();
        self.len -= usize::from(displaced.is_some());
        displaced
    }

    /// Takes out the next request in turn, or an expired one of the workspace in turn.
    fn pop_turn(&mut self, now: Duration) -> Option<QueuedRequest<T>> {
        if self.len == 0 {
            return None;
        }
        let cost = self.cost();
        loop {
            if let Some(fresh) = self.fresh.pop_front() {
                self.round.push_front(fresh);
            }
            let workspace = self.round.front()?;
            let lane = self.lanes.get_mut(workspace)?;
            if lane.requests.is_empty() {
                self.pass_empty();
                continue;
            }
            let is_expired = lane.is_front_expired(now);
            if !is_expired && !lane.earn(cost) {
                self.round.rotate_left(1);
                continue;
            }
            let request = lane.requests.pop_front();
            self.len -= usize::from(request.is_some());
            if !is_expired {
                self.round.rotate_left(1);
            }
            return request;
        }
    }

    /// Takes the workspace in turn out of the round, unless a credit is open.
    fn pass_empty(&mut self) {
        let Some(workspace) = self.round.pop_front() else {
            return;
        };
        let is_open = self.lanes.get_mut(&workspace).is_some_and(Lane::idle);
        if is_open {
            self.round.push_back(workspace);
        } else {
            self.lanes.remove(&workspace);
        }
    }

    fn take(&mut self, matches: impl Fn(&QueuedRequest<T>) -> bool) -> Vec<QueuedRequest<T>> {
        let lanes = self.lanes.values_mut();
        let taken: Vec<_> = lanes.flat_map(|lane| lane.take(&matches)).collect();
        self.len -= taken.len();
        taken
    }
}

impl<T: Debug> Queue for FairQueue<T> {
    type Item = T;

    fn len(&self) -> usize {
        self.len
    }

    fn pop(&mut self, now: Duration) -> PopResult<T> {
        let mut expired = Vec::new();
        while let Some(request) = self.pop_turn(now) {
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
        let lane = self.lanes.get(&request.workspace);
        let lane_len = lane.map_or(0, |lane| lane.requests.len());
        if lane_len >= self.bounds.per_workspace {
            return PushResult::Full(request);
        }
        if self.len < self.bounds.total {
            self.add(request);
            return PushResult::Accepted;
        }
        match self.displace(&request) {
            Some(displaced) => {
                self.add(request);
                PushResult::Displaced(displaced)
            }
            None => PushResult::Full(request),
        }
    }

    fn remove(&mut self, id: &str) -> Option<QueuedRequest<T>> {
        self.take(|request| request.id == id).pop()
    }

    fn remove_workspace(&mut self, workspace: &str) -> Vec<QueuedRequest<T>> {
        self.take(|request| request.workspace == workspace)
    }

    fn take_expired(&mut self, now: Duration) -> Vec<QueuedRequest<T>> {
        self.take(|request| now >= request.deadline)
    }
}
