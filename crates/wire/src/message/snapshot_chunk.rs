//! Part of a snapshot.

use bytes::Bytes;
use ids::Offset;
use prost::Message;

/// One part of a peer's snapshot of the folded log.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotChunk {
    /// Offset of the last record that the snapshot covers.
    #[prost(uint64, tag = "1")]
    pub through: Offset,
    /// Index of the part.
    #[prost(uint32, tag = "2")]
    pub part: u32,
    /// Number of parts.
    #[prost(uint32, tag = "3")]
    pub parts: u32,
    /// The part.
    #[prost(bytes = "bytes", tag = "4")]
    pub data: Bytes,
}
