//! Records of the log, as read by a peer.

use ids::Offset;
use prost::Message;

use crate::PulledRecord;

/// Consecutive records that a peer has read from the log.
#[derive(Clone, PartialEq, Message)]
pub struct PulledRecords {
    /// The records, in order.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<PulledRecord>,
    /// Oldest offset that the peer keeps.
    #[prost(uint64, tag = "2")]
    pub first: Offset,
    /// Offset that follows the newest record that the peer has read.
    #[prost(uint64, tag = "3")]
    pub next: Offset,
}

impl PulledRecords {
    /// Removes records from the end until the message has at most `limit_bytes`. The receiver requests
    /// the removed records again.
    pub(crate) fn truncate_to(&mut self, limit_bytes: usize) {
        let mut total_bytes = self.encoded_len();
        while total_bytes > limit_bytes
            && let Some(record) = self.records.pop()
        {
            total_bytes -= record.encoded_len();
        }
    }
}
