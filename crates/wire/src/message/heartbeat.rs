//! Heartbeat of a member.

use ids::Incarnation;
use ids::Offset;
use ids::VmId;
use prost::Message;

use crate::message::Declarations;

/// Requests that a witness renew the lease of a member.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// The member.
    #[prost(string, tag = "1")]
    pub vm: VmId,
    /// Incarnation of the member.
    #[prost(uint64, tag = "2")]
    pub incarnation: Incarnation,
    /// Sequence number, which increases with every heartbeat of this incarnation.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Time of sending by the member's clock, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub sent_ms: u64,
    /// Offset up to which the member has read the log.
    #[prost(uint64, tag = "5")]
    pub offset: Offset,
    /// What the member knows of the declarations of operators.
    #[prost(message, optional, tag = "6")]
    pub declarations: Option<Declarations>,
}
