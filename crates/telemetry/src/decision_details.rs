//! Details of a decision about a request.

use serde::Deserialize;
use serde::Serialize;

/// Measurements, limits and results behind a decision. Only the fields that matter to its step are set. Times are in
/// milliseconds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct DecisionDetails {
    /// Number of queued requests that would have been dispatched before this one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ahead: Option<usize>,
    /// Number of earlier attempts to send the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempt: Option<u32>,
    /// Burst size of the workspace, in requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub burst: Option<u32>,
    /// Whether the upstream was cold.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold: Option<bool>,
    /// Time left until the caller's deadline.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_left_ms: Option<u64>,
    /// Time since the request arrived at the process.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub elapsed_ms: Option<u64>,
    /// Concurrency limit of the upstream, in requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<u32>,
    /// Whether the request certainly did not run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub not_run: Option<bool>,
    /// Rank of the request, 0 for the most urgent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rank: Option<u32>,
    /// Rate limit of the workspace, in requests per second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate: Option<u32>,
    /// Delay after which the caller was asked to retry.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Time since the request first arrived, if it was refused before.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub returned_after_ms: Option<u64>,
    /// Number of requests in flight at the upstream.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
    /// HTTP status of the answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub status: Option<u32>,
    /// Target latency of the route.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target_latency_ms: Option<u64>,
    /// Time that the upstream took to answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub upstream_ms: Option<u64>,
    /// Number of requests per second that the upstream states it accepts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub upstream_rate: Option<f64>,
    /// Time that the request waited in the queue of its home.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub waited_ms: Option<u64>,
}
