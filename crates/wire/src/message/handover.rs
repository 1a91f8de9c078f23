//! Handover of the remembered requests of a unit.

use bytes::Bytes;
use ids::Fence;
use prost::Message;

/// Transfers the remembered requests of a unit from its previous owner to the next.
#[derive(Clone, PartialEq, Message)]
pub struct Handover {
    /// The unit.
    #[prost(string, tag = "1")]
    pub unit: String,
    /// Fence under which the previous owner owned the unit.
    #[prost(uint64, tag = "2")]
    pub fence: Fence,
    /// The requests that the previous owner remembers, as JSON.
    #[prost(bytes = "bytes", tag = "3")]
    pub request_memory: Bytes,
}
