//! Requests that travel with a unit.

use bytes::Bytes;
use ids::Fence;
use prost::Message;

/// Passes what the last owner of a unit remembers of its requests to the next.
#[derive(Clone, PartialEq, Message)]
pub struct Handover {
    /// The unit.
    #[prost(string, tag = "1")]
    pub unit: String,
    /// Fence under which the last owner held the unit.
    #[prost(uint64, tag = "2")]
    pub fence: Fence,
    /// What the last owner remembers.
    #[prost(bytes = "bytes", tag = "3")]
    pub request_memory: Bytes,
}
