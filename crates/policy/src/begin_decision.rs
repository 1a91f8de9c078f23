//! Decision whether a home runs a request.

use ids::RequestId;
use ids::Unit;

use crate::Idempotency;

/// A request that a home is about to run.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// Unique id of the request.
    pub id: RequestId,
    /// Idempotency key with the fingerprint of the content, if the caller gave a key.
    pub idempotency: Option<Idempotency>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Unit that the request belongs to, absent for services without keys.
    pub unit: Option<Unit>,
}

/// Decision whether a home runs a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BeginDecision<A> {
    /// The request, or one with the same idempotency key, is already running.
    AlreadyRunning {
        /// Id of the running request.
        first: RequestId,
    },
    /// The request, or one with the same idempotency key, has been answered.
    Answered(A),
    /// Refused as not run because the idempotency key is too far in the future.
    BadKey,
    /// Not run because the home has replied to a status query that the request will not run.
    Barred,
    /// Refused as not run because the idempotency key was used with other content.
    Conflict,
    /// Refused as not run because the request memory is full.
    Full,
    /// The request is to be run.
    Run,
    /// Not run now because it cannot be known whether a request with the idempotency key has run.
    Unknown,
}
