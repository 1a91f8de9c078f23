//! Request for records of the log.

use ids::Offset;
use prost::Message;

/// Requests records that the peer has read from the log.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PullRecords {
    /// Offset of the first record.
    #[prost(uint64, tag = "1")]
    pub from: Offset,
    /// Maximum number of records.
    #[prost(uint32, tag = "2")]
    pub max: u32,
}
