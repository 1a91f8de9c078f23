//! Decision of a rate limiter about one request.

use std::time::Duration;

use serde::Serialize;

/// Decision about a request under the rate limit of its workspace.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Admission {
    /// The request is admitted.
    Admitted,
    /// The request is refused and has not run.
    Refused {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// The request waits until [`RateLimiter::poll`](crate::RateLimiter::poll) decides about it.
    Waiting,
}
