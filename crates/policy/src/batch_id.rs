//! Identity of a batch of tokens.

use ids::Fence;
use serde::Deserialize;
use serde::Serialize;

/// Identity of a batch of tokens, unique among all batches of a bucket under all its owners.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct BatchId {
    /// Fence of the bucket under which the batch was granted.
    pub fence: Fence,
    /// Sequence number of the batch, unique under that fence.
    pub number: u64,
}
