//! The inputs of a decision.

use serde::Deserialize;
use serde::Serialize;

/// The inputs that decided, as far as they matter to the step. Times are in milliseconds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct DecisionDetails {
    /// Requests that would have been dispatched before this one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ahead: Option<usize>,
    /// Number of times that the request was sent before.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempt: Option<u32>,
    /// Burst of the workspace, in requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub burst: Option<u32>,
    /// Whether the upstream was cold.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold: Option<bool>,
    /// Time that the caller had left.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_left_ms: Option<u64>,
    /// Time since the request arrived at the process.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub elapsed_ms: Option<u64>,
    /// Requests that the upstream might run at once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<u32>,
    /// Whether the request certainly did not run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub not_run: Option<bool>,
    /// Rank of the request, 0 for the most urgent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rank: Option<u32>,
    /// Rate of the workspace, in requests a second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate: Option<u32>,
    /// Time after which the caller was told to come back.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Time since the request first arrived, if it was refused before.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub returned_after_ms: Option<u64>,
    /// Requests that ran on the upstream.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
    /// Status of the answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub status: Option<u32>,
    /// Target latency of the route.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target_latency_ms: Option<u64>,
    /// Time that the upstream took.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub upstream_ms: Option<u64>,
    /// Time that the request waited for its turn.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub waited_ms: Option<u64>,
}
