//! Decisions about requests, as log lines and for operators.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use ids::RequestId;
use log::Level;

use crate::JSON_LINE_TARGET;
use crate::RequestDecision;
use crate::RequestLogFilter;

/// Keeps the decisions about recent requests, and writes those that are to be logged.
#[derive(Debug)]
pub struct DecisionLog {
    detail: RequestLogFilter,
    kept: Mutex<Kept>,
    /// Requests whose decisions are kept.
    most: usize,
    /// One request in this many is logged whatever becomes of it, or none if it is 0.
    sample_one_in: u64,
}

#[derive(Debug, Default)]
struct Kept {
    by_request: BTreeMap<RequestId, Trail>,
    order: VecDeque<RequestId>,
}

/// The decisions about one request.
#[derive(Debug, Default)]
struct Trail {
    decisions: Vec<RequestDecision>,
    has_failed: bool,
    /// Number of decisions that have been written.
    written: usize,
}

impl DecisionLog {
    /// Creates a log that keeps the decisions about `most` requests, and writes those that `detail` asks for and one
    /// request in `sample_one_in`, by its id, so that all processes write the same.
    pub fn new(detail: RequestLogFilter, sample_one_in: u64, most: usize) -> Self {
        Self {
            detail,
            kept: Mutex::default(),
            most,
            sample_one_in,
        }
    }

    /// Keeps a decision, and writes it if its request is logged.
    pub fn record(&self, decision: RequestDecision) {
        let is_logged = self.is_logged(&decision.request_id);
        let mut kept = self.lock();
        let lines = kept.keep(decision, self.most, self.detail, is_logged);
        drop(kept);
        for line in lines {
            log::log!(target: JSON_LINE_TARGET, Level::Info, "{line}");
        }
    }

    /// Returns the decisions about a request, oldest first.
    pub fn decisions_for(&self, request_id: &str) -> Vec<RequestDecision> {
        self.lock()
            .by_request
            .get(request_id)
            .map(|trail| trail.decisions.clone())
            .unwrap_or_default()
    }

    /// Tells whether a request is logged whatever becomes of it.
    fn is_logged(&self, request_id: &str) -> bool {
        self.detail == RequestLogFilter::All || self.is_sampled(request_id)
    }

    fn is_sampled(&self, request_id: &str) -> bool {
        if self.sample_one_in == 0 {
            return false;
        }
        // The keys of this hasher are constants, so that all processes choose the same requests.
        let mut hasher = DefaultHasher::new();
        request_id.hash(&mut hasher);
        hasher.finish().is_multiple_of(self.sample_one_in)
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Kept {
    /// Keeps a decision, and returns the lines to write.
    fn keep(
        &mut self,
        decision: RequestDecision,
        most: usize,
        detail: RequestLogFilter,
        is_logged: bool,
    ) -> Vec<String> {
        let request_id = decision.request_id.clone();
        if !self.by_request.contains_key(&request_id) {
            self.order.push_back(request_id.clone());
        }
        let trail = self.by_request.entry(request_id).or_default();
        trail.has_failed |= decision.is_failure();
        trail.decisions.push(decision);
        let is_logged = is_logged || (detail == RequestLogFilter::Failed && trail.has_failed);
        let lines = if is_logged {
            trail.unwritten()
        } else {
            Vec::new()
        };
        if self.order.len() > most
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_request.remove(&oldest);
        }
        lines
    }
}

impl Trail {
    fn unwritten(&mut self) -> Vec<String> {
        let decisions = &self.decisions[self.written..];
        let lines = decisions
            .iter()
            .filter_map(|decision| serde_json::to_string(decision).ok());
        let lines = lines.collect();
        self.written = self.decisions.len();
        lines
    }
}
