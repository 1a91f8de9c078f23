//! What a caller saw of one request.

use std::fs;
use std::io;
use std::path::Path;

use ids::RequestId;
use ids::ServiceId;
use ids::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

use crate::MonotonicUs;

/// What a caller saw of one request that it sent. A repetition is an observation of its own.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Observation {
    /// The answer of the upstream, absent for a refusal or without an answer.
    pub answer: Option<EchoResponse>,
    /// Time of the whole answer, absent without an answer.
    pub answered_us: Option<MonotonicUs>,
    /// BLAKE3 hash of the body that was sent, absent for a body that other requests have too.
    pub body_hash: Option<String>,
    /// Time at which the request was due, before any wait of the load tool itself.
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
    /// Id that the answer names.
    pub request_id: Option<RequestId>,
    /// Time that the refusal asks the caller to wait, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Time at which the request was sent.
    pub sent_us: MonotonicUs,
    /// The service.
    pub service: ServiceId,
    /// HTTP status, absent without an answer.
    pub status: Option<u16>,
    /// The workspace of the tenant key, absent on open routes.
    pub workspace: Option<WorkspaceId>,
}

/// What an upstream stand-in answers of the request that it ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EchoResponse {
    /// BLAKE3 hash of the body, as hexadecimal text.
    pub body_hash: String,
    /// Life of the upstream.
    pub instance: String,
    /// The key.
    pub key: Option<String>,
    /// Id of the request.
    pub request_id: RequestId,
    /// The workspace.
    pub workspace: Option<WorkspaceId>,
}

impl Observation {
    /// Tells whether the caller got the answer that its request ran.
    pub fn is_acknowledged(&self) -> bool {
        self.status
            .is_some_and(|status| (200..300).contains(&status))
    }

    /// Tells whether the caller was told that its request did not run.
    pub fn is_not_run(&self) -> bool {
        self.outcome.as_deref() == Some("not-run")
    }
}

/// Reads a file of observations, one in each line.
///
/// # Errors
///
/// Returns the error of the system, or the first line that is not an observation.
pub fn read_observations(path: &Path) -> io::Result<Vec<Observation>> {
    let text = fs::read_to_string(path)?;
    let lines = text.lines().map(serde_json::from_str);
    Ok(lines.collect::<Result<_, _>>()?)
}
