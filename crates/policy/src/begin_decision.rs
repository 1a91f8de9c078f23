//! Decision whether a request runs.

use ids::RequestId;
use ids::Unit;

use crate::Idempotency;

/// A request that a home is about to run.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// Unique id of the request.
    pub id: RequestId,
    /// Idempotency key with the content, if the caller gave one.
    pub idempotency: Option<Idempotency>,
    /// Unit that the request belongs to, absent for services without keys.
    pub unit: Option<Unit>,
}

/// Decision whether a request runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BeginDecision<A> {
    /// The request, or one with the same idempotency key, runs.
    AlreadyRunning {
        /// Id of the request that runs.
        first: RequestId,
    },
    /// The request, or one with the same idempotency key, was answered.
    Answered(A),
    /// The idempotency key is too far in the future: refused as not run.
    BadKey,
    /// The entry was told that the request would not run.
    Barred,
    /// The idempotency key was used with other content: refused as not run.
    Conflict,
    /// The memory is full: refused as not run.
    Full,
    /// The request runs.
    Run,
    /// Whether a request with the idempotency key has run cannot be known: not run now.
    Unknown,
}
