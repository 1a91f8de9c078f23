//! What an entry does for a workspace's rate.

use std::time::Duration;

use serde::Serialize;

use crate::Ticket;
use crate::TokenRequest;

/// What an entry does for a workspace's rate.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RateLimiterStep {
    /// Admits a request that waited.
    Admit(Ticket),
    /// Sends an ask to the owner of a bucket.
    #[serde(rename = "ask")]
    RequestTokens(TokenRequest),
    /// Refuses a request that waited, as not run.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// Time after which the caller should send it again.
        retry_after: Duration,
    },
}
