//! Request for a part of a snapshot.

use ids::Offset;
use prost::Message;

/// Requests one part of the newest snapshot of a peer.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PullSnapshot {
    /// Index of the part.
    #[prost(uint32, tag = "1")]
    pub part: u32,
    /// Offset that the snapshot covers, or 0 for the newest.
    #[prost(uint64, tag = "2")]
    pub through: Offset,
}
