//! End of a dispatched request.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// End of a request that was dispatched to an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Completion {
    /// The upstream answered.
    Answered {
        /// Time from dispatch to the complete answer.
        latency: Duration,
    },
    /// The request was cancelled, which says nothing about the upstream.
    Cancelled,
    /// No answer arrived, or a malformed one.
    Failed,
    /// The upstream shed the request.
    Shed,
}
