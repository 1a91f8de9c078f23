//! State of a bucket that moves to another owner.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::BatchId;
use crate::RateLimit;

/// State of a batch that has not expired.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OutstandingBatch {
    /// Time for which the owner still counts the batch as outstanding.
    pub held_for: Duration,
    /// Identity of the batch.
    pub id: BatchId,
    /// Tokens granted.
    pub tokens: u32,
    /// Tokens reported as used.
    pub used: u32,
}

/// State that the owner of a bucket passes to the next owner in a planned move.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BucketState {
    /// Tokens in the bucket, in billionths of a token.
    pub level_nanotokens: u64,
    /// Part of the workspace's rate limit that applied to the bucket.
    pub limit: RateLimit,
    /// Batches that have not expired.
    pub outstanding: Vec<OutstandingBatch>,
    /// Time for which the bucket still grants nothing.
    pub quiet_for: Duration,
}
