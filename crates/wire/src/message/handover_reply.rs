//! The answer to a hand-over.

use prost::Message;

/// States whether the next owner has taken what the last one remembered.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct HandoverReply {
    /// Whether it was taken.
    #[prost(bool, tag = "1")]
    pub accepted: bool,
}
