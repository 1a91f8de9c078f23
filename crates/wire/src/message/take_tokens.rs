//! Request for tokens of a rate limit.

use ids::Fence;
use prost::Message;

use crate::TokenReport;

/// Requests tokens from the owner of a bucket, which holds a part of a workspace's rate limit.
#[derive(Clone, PartialEq, Message)]
pub struct TakeTokens {
    /// The bucket.
    #[prost(string, tag = "1")]
    pub unit: String,
    /// Fence of the ownership of the bucket, as known to the entry.
    #[prost(uint64, tag = "2")]
    pub fence: Fence,
    /// Number of tokens wanted for requests that are expected soon.
    #[prost(uint32, tag = "3")]
    pub wanted_ahead: u32,
    /// Number of tokens wanted for requests that already wait.
    #[prost(uint32, tag = "4")]
    pub wanted_waiting: u32,
    /// Reports of the use of earlier batches from the bucket.
    #[prost(message, repeated, tag = "5")]
    pub reports: Vec<TokenReport>,
}
