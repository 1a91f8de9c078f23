//! State of a bucket on its way to another owner.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::BatchId;
use crate::RateLimit;

/// A batch that has not expired.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OutstandingBatch {
    /// Time for which the owner counts the tokens as being in the bucket.
    pub held_for: Duration,
    /// Identity of the batch.
    pub id: BatchId,
    /// Tokens granted.
    pub tokens: u32,
    /// Tokens reported as used.
    pub used: u32,
}

/// State that a bucket's owner passes to the next one in a planned move.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BucketState {
    /// Tokens in the bucket, in billionths.
    pub level_nanotokens: u64,
    /// Part of the workspace's limit that the bucket was under.
    pub limit: RateLimit,
    /// Batches that have not expired.
    pub outstanding: Vec<OutstandingBatch>,
    /// Time during which the bucket grants nothing.
    pub quiet_for: Duration,
}
