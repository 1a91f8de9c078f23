//! MemberLoads of members, as one of them knows them.

use ids::Incarnation;
use ids::VmId;
use prost::Message;

/// Passes on what a member knows of the loads of members. The fields of one entry stand at the same index.
#[derive(Clone, PartialEq, Message)]
pub struct MemberLoads {
    /// The sender.
    #[prost(string, tag = "1")]
    pub vm: VmId,
    /// Life of the sender.
    #[prost(uint64, tag = "2")]
    pub incarnation: Incarnation,
    /// Number of the message, higher than that of any earlier one of this life.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Lives of the members whose loads follow.
    #[prost(uint64, repeated, tag = "4")]
    pub members: Vec<Incarnation>,
    /// Slots of its upstream that each keeps busy, in thousandths.
    #[prost(uint64, repeated, tag = "5")]
    pub slots_permille: Vec<u64>,
    /// Time since each was measured, in milliseconds.
    #[prost(uint64, repeated, tag = "6")]
    pub ages_ms: Vec<u64>,
}
