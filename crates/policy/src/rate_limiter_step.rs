//! Action that a rate limiter requires of an entry.

use std::time::Duration;

use serde::Serialize;

use crate::Ticket;
use crate::TokenRequest;

/// Action that a rate limiter requires of its entry.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RateLimiterStep {
    /// Admit a waiting request.
    Admit(Ticket),
    /// Send a token request to the owner of a bucket.
    #[serde(rename = "ask")]
    RequestTokens(TokenRequest),
    /// Refuse a waiting request, which has not run.
    Refuse {
        /// Identity of the request.
        ticket: Ticket,
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
}
