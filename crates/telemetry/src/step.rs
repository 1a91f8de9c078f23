//! What was decided about a request.

use serde::Deserialize;
use serde::Serialize;

/// What was decided about a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// The entry gave the caller an answer.
    Answered,
    /// The caller closed its connection before there was an answer.
    CallerLeft,
    /// The home gave the request to its upstream.
    Dispatched,
    /// The home got no answer, or none that is whole, from its upstream.
    Failed,
    /// The entry sent a second copy of an idempotent request to another home.
    Hedged,
    /// The entry refused the request.
    Refused,
    /// The home refused the request without running it.
    #[serde(rename = "turned-away")]
    RefusedByHome,
    /// The entry asked the home what became of the request.
    Resolved,
    /// The entry sent the request to another home after one that did not run it.
    Retried,
    /// The entry chose a home.
    Routed,
    /// The home received the answer of its upstream.
    #[serde(rename = "ended")]
    UpstreamAnswered,
}

impl Step {
    /// Tells whether the request did not get what its caller asked for.
    pub fn is_failure(self) -> bool {
        matches!(
            self,
            Self::CallerLeft | Self::Failed | Self::Refused | Self::RefusedByHome
        )
    }
}
