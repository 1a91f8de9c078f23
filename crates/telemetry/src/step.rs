//! Steps of request processing.

use serde::Deserialize;
use serde::Serialize;

/// Step of request processing that a decision was about.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// The entry returned an answer to the caller.
    Answered,
    /// The caller closed its connection before there was an answer.
    CallerLeft,
    /// The home sent the request to its upstream.
    Dispatched,
    /// The home received no answer or an incomplete one from its upstream.
    Failed,
    /// The entry sent a second copy of an idempotent request to another home.
    Hedged,
    /// The entry refused the request.
    Refused,
    /// The home refused the request without running it.
    #[serde(rename = "turned-away")]
    RefusedByHome,
    /// The entry asked the home for the outcome of the request.
    Resolved,
    /// The entry sent the request to another home after the first one did not run it.
    Retried,
    /// The entry chose a home.
    Routed,
    /// The home received the answer of its upstream.
    #[serde(rename = "ended")]
    UpstreamAnswered,
}

impl Step {
    /// Reports whether the request failed, was refused, or lost its caller.
    pub fn is_failure(self) -> bool {
        matches!(
            self,
            Self::CallerLeft | Self::Failed | Self::Refused | Self::RefusedByHome
        )
    }
}
