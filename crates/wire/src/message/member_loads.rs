//! Loads of members, as reported by one of them.

use ids::Incarnation;
use ids::VmId;
use prost::Message;

/// Reports the loads of members that the sender knows, including loads that other members reported to
/// it. Values at the same index of the three lists belong to the same member.
#[derive(Clone, PartialEq, Message)]
pub struct MemberLoads {
    /// The sender.
    #[prost(string, tag = "1")]
    pub vm: VmId,
    /// Incarnation of the sender.
    #[prost(uint64, tag = "2")]
    pub incarnation: Incarnation,
    /// Sequence number, which increases with every message of this incarnation.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Incarnations of the members whose loads are reported.
    #[prost(uint64, repeated, tag = "4")]
    pub members: Vec<Incarnation>,
    /// Number of upstream slots that each member keeps busy, in thousandths.
    #[prost(uint64, repeated, tag = "5")]
    pub slots_permille: Vec<u64>,
    /// Time since each load was measured, in milliseconds.
    #[prost(uint64, repeated, tag = "6")]
    pub ages_ms: Vec<u64>,
    /// Capacity of each member whose upstream limits the rate of requests, or whose speed is known, in thousandths of a slot and
    /// one more. 0 for other
    /// members, and empty if there are only others.
    #[prost(uint64, repeated, tag = "7")]
    pub capacities: Vec<u64>,
}
