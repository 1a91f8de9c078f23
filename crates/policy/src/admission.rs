//! Decision about the rate of one request.

use std::time::Duration;

use serde::Serialize;

/// Decision about a request, under the rate of its workspace.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Admission {
    /// The request is admitted.
    Admitted,
    /// The request is refused as not run.
    Refused {
        /// Time after which the caller should send it again.
        retry_after: Duration,
    },
    /// The request waits: [`RateLimiter::poll`](crate::Meter::poll) decides about it.
    Waiting,
}
