//! Answer of a witness to a heartbeat.

use ids::Incarnation;
use ids::Offset;
use ids::VmId;
use prost::Message;

use crate::message::Declarations;

/// Answers a heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatAnswer {
    /// The witness.
    #[prost(string, tag = "1")]
    pub witness: VmId,
    /// Incarnation of the witness.
    #[prost(uint64, tag = "2")]
    pub witness_incarnation: Incarnation,
    /// Incarnation of the member that sent the heartbeat.
    #[prost(uint64, tag = "4")]
    pub incarnation: Incarnation,
    /// Sequence number of the heartbeat.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
    /// Whether the witness still has contact with the member, that is, does not suspect it.
    #[prost(bool, tag = "6")]
    pub contact: bool,
    /// Whether the witness renews the member's lease.
    #[prost(bool, tag = "7")]
    pub renewal: bool,
    /// Offset up to which the witness has read the log.
    #[prost(uint64, tag = "8")]
    pub offset: Offset,
    /// What the witness knows of the declarations of operators.
    #[prost(message, optional, tag = "9")]
    pub declarations: Option<Declarations>,
}
