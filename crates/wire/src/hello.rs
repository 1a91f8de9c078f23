//! First message that each end of a link sends.

use ids::VmId;
use prost::Message;

/// Identifies the sender and carries the nonce that makes the keys of each link unique.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct Hello {
    #[prost(uint32, tag = "1")]
    pub(crate) version: u32,
    #[prost(string, tag = "2")]
    pub(crate) vm: VmId,
    #[prost(uint64, tag = "3")]
    pub(crate) incarnation: u64,
    #[prost(bytes = "vec", tag = "4")]
    pub(crate) nonce: Vec<u8>,
}
