//! Head of a request.

use std::time::Duration;

use ids::RequestId;
use ids::ServiceId;
use serde::Serialize;

/// Attributes of a request that routing, limits and retries are decided by.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct RequestHead {
    /// Time since the start of the process after which the caller no longer waits for the answer.
    pub deadline: Duration,
    /// Unique id of the request.
    pub id: RequestId,
    /// Idempotency key that the caller chose.
    pub idempotency_key: Option<String>,
    /// Whether running the request more than once has the same effect as running it once.
    pub idempotent: bool,
    /// Routing key of the request, absent for services without keys.
    pub key: Option<String>,
    /// Maximum number of upstreams that may run the request, or `None` if only the retry policy limits them.
    pub max_attempts: Option<u32>,
    /// HTTP method.
    pub method: String,
    /// Path without the name of the service.
    pub path: String,
    /// Service that the request is for.
    pub service: ServiceId,
}
