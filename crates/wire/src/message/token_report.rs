//! Report of the use of a batch of tokens.

use ids::Fence;
use prost::Message;

/// Reports how an entry has used a batch of tokens so far.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct TokenReport {
    /// Fence of the bucket under which the batch was granted.
    #[prost(uint64, tag = "1")]
    pub fence: Fence,
    /// Number of the batch under that fence.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Whether the entry will use no further tokens of the batch.
    #[prost(bool, tag = "3")]
    pub closed: bool,
    /// Number of used tokens.
    #[prost(uint32, tag = "4")]
    pub used: u32,
}
