//! Decisions of recent requests.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use ids::RequestId;

use crate::decisions::RoutingDecision;
use crate::logging::DECISION_TARGET;

/// Writes decisions to the log and keeps those of recent requests.
#[derive(Debug)]
pub(crate) struct Recent {
    kept: Mutex<Kept>,
    /// Requests whose decisions are kept.
    most: usize,
}

#[derive(Debug, Default)]
struct Kept {
    by_request: BTreeMap<RequestId, Vec<RoutingDecision>>,
    order: VecDeque<RequestId>,
}

impl Recent {
    pub(crate) fn new(most: usize) -> Self {
        Self {
            kept: Mutex::default(),
            most,
        }
    }

    /// Writes a decision to the log and keeps it.
    pub(crate) fn record(&self, decision: RoutingDecision) {
        if log::log_enabled!(target: DECISION_TARGET, log::Level::Info)
            && let Ok(line) = serde_json::to_string(&decision)
        {
            log::info!(target: DECISION_TARGET, "{line}");
        }
        self.lock().keep(decision, self.most);
    }

    /// Returns the decisions about a request, oldest first.
    pub(crate) fn about(&self, request_id: &str) -> Vec<RoutingDecision> {
        self.lock()
            .by_request
            .get(request_id)
            .cloned()
            .unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Kept {
    fn keep(&mut self, decision: RoutingDecision, most: usize) {
        if !self.by_request.contains_key(&decision.request_id) {
            self.order.push_back(decision.request_id.clone());
        }
        self.by_request
            .entry(decision.request_id.clone())
            .or_default()
            .push(decision);
        if self.order.len() > most
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_request.remove(&oldest);
        }
    }
}
