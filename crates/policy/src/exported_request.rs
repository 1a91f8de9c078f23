//! Request memory of a unit, exported for its next owner.

use std::time::Duration;

use ids::RequestId;
use serde::Deserialize;
use serde::Serialize;

use crate::Fingerprint;
use crate::IdempotencyKey;

/// State of a request in the memory of its home.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RequestState<A> {
    /// The request was answered.
    Answered(A),
    /// The request has not run and never will.
    Barred,
    /// The request may have run; its outcome is unknown.
    Lost,
    /// The request runs or waits to run.
    Running,
}

/// A request in the memory of a home, exported for the next owner of its unit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExportedRequest<A> {
    /// Size of the answer, in bytes.
    pub answer_bytes: usize,
    /// Ids that the request was sent under and that are not acknowledged, in order of arrival.
    pub ids: Vec<RequestId>,
    /// Idempotency key with the fingerprint of the content.
    pub key: Option<(IdempotencyKey, Fingerprint)>,
    /// Remaining time for which the request is kept.
    pub keep_for: Duration,
    /// State of the request.
    pub state: RequestState<A>,
}

/// All requests of a unit in the memory of a home, exported for the next owner of the unit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExportedMemory<A> {
    /// Time since which every request of the unit is remembered, in milliseconds since the Unix epoch.
    pub owned_since_unix_ms: u64,
    /// Requests of the unit.
    pub requests: Vec<ExportedRequest<A>>,
}
