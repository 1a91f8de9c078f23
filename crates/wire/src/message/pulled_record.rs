//! One record of the log, as read by a peer.

use ids::Offset;
use prost::Message;

/// One record of the log.
#[derive(Clone, PartialEq, Message)]
pub struct PulledRecord {
    /// Offset in the log.
    #[prost(uint64, tag = "1")]
    pub offset: Offset,
    /// The record, as appended.
    #[prost(string, tag = "2")]
    pub body: String,
}
