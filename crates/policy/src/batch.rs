//! Tokens granted to an entry.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::BatchId;

/// Tokens that the owner of a bucket grants in reply to a token request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// Time for which the tokens may be used, from when the entry sent the token request.
    pub expires_after: Duration,
    /// Identity of the batch.
    pub id: BatchId,
    /// Time from the reply until the bucket has a token to grant.
    pub next_refill_after: Duration,
    /// Number of tokens, which is 0 if the bucket has none to grant.
    pub tokens: u32,
}
