//! Record of one request in the memory of its home.

use std::time::Duration;

use ids::RequestId;
use ids::Unit;

use crate::ExportedRequest;
use crate::Fingerprint;
use crate::IdempotencyKey;
use crate::RequestState;

/// Bytes counted for a record in addition to its answer.
const RECORD_OVERHEAD_BYTES: usize = 512;

/// Record of one request in the memory of its home.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord<A> {
    pub(crate) answer_bytes: usize,
    /// Absent while the request runs.
    pub(crate) expires_at: Option<Duration>,
    pub(crate) ids: Vec<RequestId>,
    pub(crate) key: Option<(IdempotencyKey, Fingerprint)>,
    pub(crate) state: RequestState<A>,
    pub(crate) unit: Option<Unit>,
}

impl<A: Clone> RequestRecord<A> {
    pub(crate) fn bytes(&self) -> usize {
        RECORD_OVERHEAD_BYTES + self.answer_bytes
    }

    pub(crate) fn export(&self, now: Duration, keep_key: Duration) -> ExportedRequest<A> {
        let state = match &self.state {
            RequestState::Running => RequestState::Lost,
            state => state.clone(),
        };
        ExportedRequest {
            answer_bytes: self.answer_bytes,
            ids: self.ids.clone(),
            key: self.key.clone(),
            keep_for: self
                .expires_at
                .map_or(keep_key, |time| time.saturating_sub(now)),
            state,
        }
    }

    /// Takes over the ids of another record of the same request, and its state if that tells more.
    pub(crate) fn merge(&mut self, other: Self) {
        self.key = self.key.take().or(other.key);
        let is_running = matches!(other.state, RequestState::Running);
        let mut ids = other.ids;
        if is_running {
            // The first id is the one under which the request runs.
            std::mem::swap(&mut self.ids, &mut ids);
        }
        ids.retain(|id| !self.ids.contains(id));
        self.ids.append(&mut ids);
        let is_answered = matches!(other.state, RequestState::Answered(_));
        if is_running || (is_answered && !matches!(self.state, RequestState::Answered(_))) {
            self.answer_bytes = other.answer_bytes;
            self.expires_at = other.expires_at;
            self.state = other.state;
        }
    }

    pub(crate) fn import(now: Duration, unit: &Unit, request: ExportedRequest<A>) -> Self {
        Self {
            answer_bytes: request.answer_bytes,
            expires_at: Some(now + request.keep_for),
            ids: request.ids,
            key: request.key,
            state: request.state,
            unit: Some(unit.clone()),
        }
    }
}
