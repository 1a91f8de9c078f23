//! Tokens of a rate limit.

use ids::Fence;
use prost::Message;

/// A batch of tokens. The bucket still counts them as its own until they expire.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Tokens {
    /// Number of tokens.
    #[prost(uint32, tag = "1")]
    pub count: u32,
    /// Time from the sending of the token request until the tokens expire, in microseconds.
    #[prost(uint64, tag = "2")]
    pub expires_after_us: u64,
    /// Time until the bucket has a token again, in microseconds.
    #[prost(uint64, tag = "3")]
    pub next_refill_after_us: u64,
    /// Fence of the bucket under which the batch was granted.
    #[prost(uint64, tag = "4")]
    pub fence: Fence,
    /// Number of the batch under that fence.
    #[prost(uint64, tag = "5")]
    pub number: u64,
}
