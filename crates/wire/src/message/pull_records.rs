//! A request for records of the log.

use ids::Offset;
use prost::Message;

/// Asks a peer for records that it has read from the log.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PullRecords {
    /// First offset that is wanted.
    #[prost(uint64, tag = "1")]
    pub from: Offset,
    /// Largest number of records.
    #[prost(uint32, tag = "2")]
    pub max: u32,
}
