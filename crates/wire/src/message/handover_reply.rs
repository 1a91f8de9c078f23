//! Reply to a handover.

use prost::Message;

/// States whether the next owner accepted a handover.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct HandoverReply {
    /// Whether the handover was accepted.
    #[prost(bool, tag = "1")]
    pub accepted: bool,
}
