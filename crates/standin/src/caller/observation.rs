//! Observation of one request by its caller.

use std::fs;
use std::io;
use std::path::Path;

use ids::RequestId;
use ids::ServiceId;
use ids::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

use crate::MonotonicUs;

/// What a caller observed of one request that it sent. Each retry has an observation of its own.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Observation {
    /// Body of the upstream's response, absent if the request was refused, got no response, or got a truncated one.
    pub answer: Option<EchoResponse>,
    /// Time at which the complete response had arrived, absent without a response.
    pub answered_us: Option<MonotonicUs>,
    /// BLAKE3 hash of the body that was sent, absent if other requests have the same body.
    pub body_hash: Option<String>,
    /// Time at which the request was due to be sent, before any delay in the load generator itself.
    pub due_us: MonotonicUs,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The key.
    pub key: Option<String>,
    /// Whether a refused request ran: `not-run` or `unknown`.
    pub outcome: Option<String>,
    /// Why the request was refused.
    pub reason: Option<String>,
    /// Request id in the response.
    pub request_id: Option<RequestId>,
    /// Retry delay that the refusal requests, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Time at which the request was sent.
    pub sent_us: MonotonicUs,
    /// The service.
    pub service: ServiceId,
    /// HTTP status, absent without a response.
    pub status: Option<u16>,
    /// Workspace of the tenant key, absent on open routes.
    pub workspace: Option<WorkspaceId>,
}

/// Response body in which an upstream stand-in describes the request that it ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EchoResponse {
    /// BLAKE3 hash of the body, as hexadecimal text.
    pub body_hash: String,
    /// Incarnation of the upstream.
    pub instance: String,
    /// The key.
    pub key: Option<String>,
    /// Id of the request.
    pub request_id: RequestId,
    /// The workspace.
    pub workspace: Option<WorkspaceId>,
}

impl Observation {
    /// Reports whether the caller got a response that confirms that its request ran.
    pub fn is_acknowledged(&self) -> bool {
        self.status
            .is_some_and(|status| (200..300).contains(&status))
    }

    /// Reports whether the caller was refused with the outcome `not-run`.
    pub fn is_not_run(&self) -> bool {
        self.outcome.as_deref() == Some("not-run")
    }
}

/// Reads a file of observations, one per line.
///
/// # Errors
///
/// Returns an I/O error if the file cannot be read, or the error of the first line that is not an observation.
pub fn read_observations(path: &Path) -> io::Result<Vec<Observation>> {
    let text = fs::read_to_string(path)?;
    let lines = text.lines().map(serde_json::from_str);
    Ok(lines.collect::<Result<_, _>>()?)
}
