//! Log of the decisions about requests.

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

/// Retains the decisions about recent requests for operators, and writes log lines about those that are selected.
#[derive(Debug)]
pub struct DecisionLog {
    filter: RequestLogFilter,
    max_requests: usize,
    retained: Mutex<RetainedDecisions>,
    /// Sampling rate: one request in this many is logged whatever its outcome. 0 turns sampling off.
    sample_one_in: u64,
}

/// Decisions about recent requests, evicted by request in order of arrival.
#[derive(Debug, Default)]
struct RetainedDecisions {
    by_request: BTreeMap<RequestId, RequestHistory>,
    order: VecDeque<RequestId>,
}

/// Decisions about one request.
#[derive(Debug, Default)]
struct RequestHistory {
    decisions: Vec<RequestDecision>,
    has_failed: bool,
    /// Number of decisions that have been written to the log.
    written: usize,
}

impl DecisionLog {
    /// Creates a log that retains the decisions about up to `max_requests` requests. It writes those that `filter` selects,
    /// and one request in `sample_one_in`. Sampling depends only on the request id, so that all processes log the same
    /// requests.
    pub fn new(filter: RequestLogFilter, sample_one_in: u64, max_requests: usize) -> Self {
        Self {
            filter,
            max_requests,
            retained: Mutex::default(),
            sample_one_in,
        }
    }

    /// Retains a decision, and writes it if its request is logged.
    pub fn record(&self, decision: RequestDecision) {
        let is_logged = self.is_logged(&decision.request_id);
        let mut retained = self.lock();
        let lines = retained.retain(decision, self.max_requests, self.filter, is_logged);
        drop(retained);
        for line in lines {
            log::log!(target: JSON_LINE_TARGET, Level::Info, "{line}");
        }
    }

    /// Returns the decisions about a request, oldest first.
    pub fn decisions_for(&self, request_id: &str) -> Vec<RequestDecision> {
        self.lock()
            .by_request
            .get(request_id)
            .map(|history| history.decisions.clone())
            .unwrap_or_default()
    }

    /// Reports whether a request is logged whatever its outcome.
    fn is_logged(&self, request_id: &str) -> bool {
        self.filter == RequestLogFilter::All || self.is_sampled(request_id)
    }

    fn is_sampled(&self, request_id: &str) -> bool {
        if self.sample_one_in == 0 {
            return false;
        }
        // This hasher has constant keys, so all processes sample the same requests.
        let mut hasher = DefaultHasher::new();
        request_id.hash(&mut hasher);
        hasher.finish().is_multiple_of(self.sample_one_in)
    }

    fn lock(&self) -> MutexGuard<'_, RetainedDecisions> {
        self.retained.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RetainedDecisions {
    /// Retains a decision, and returns the lines to write.
    fn retain(
        &mut self,
        decision: RequestDecision,
        max_requests: usize,
        filter: RequestLogFilter,
        is_logged: bool,
    ) -> Vec<String> {
        let request_id = decision.request_id.clone();
        if !self.by_request.contains_key(&request_id) {
            self.order.push_back(request_id.clone());
        }
        let history = self.by_request.entry(request_id).or_default();
        history.has_failed |= decision.is_failure();
        history.decisions.push(decision);
        let is_logged = is_logged || (filter == RequestLogFilter::Failed && history.has_failed);
        let lines = if is_logged {
            history.take_unwritten()
        } else {
            Vec::new()
        };
        if self.order.len() > max_requests
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_request.remove(&oldest);
        }
        lines
    }
}

impl RequestHistory {
    /// Returns the lines of the decisions that have not been written, and marks them as written.
    fn take_unwritten(&mut self) -> Vec<String> {
        let decisions = &self.decisions[self.written..];
        let lines = decisions
            .iter()
            .filter_map(|decision| serde_json::to_string(decision).ok());
        let lines = lines.collect();
        self.written = self.decisions.len();
        lines
    }
}
