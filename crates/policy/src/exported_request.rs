//! ExportedRequest requests on their way to another home.

use std::time::Duration;

use ids::RequestId;
use serde::Deserialize;
use serde::Serialize;

use crate::Fingerprint;
use crate::IdempotencyKey;

/// What is known of a request that has begun.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RequestState<A> {
    /// It was answered.
    Answered(A),
    /// It will not run.
    Barred,
    /// It may have run.
    Lost,
    /// It runs, or waits to run.
    Running,
}

/// One remembered request on its way to another home.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExportedRequest<A> {
    /// Size of the answer.
    pub answer_bytes: usize,
    /// Ids that the request was sent under and that are not acknowledged, the first one first.
    pub ids: Vec<RequestId>,
    /// Idempotency key with the fingerprint of the content.
    pub key: Option<(IdempotencyKey, Fingerprint)>,
    /// Time for which the request is kept.
    pub keep_for: Duration,
    /// What is known of the request.
    pub state: RequestState<A>,
}

/// ExportedRequest requests of a unit on their way to another home.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExportedMemory<A> {
    /// Time since which every request of the unit is remembered, in milliseconds since the Unix epoch.
    pub owned_since_unix_ms: u64,
    /// The requests.
    pub requests: Vec<ExportedRequest<A>>,
}
