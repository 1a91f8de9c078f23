//! Reply of a home that does not own a unit.

use ids::Offset;
use prost::Message;

/// States that the home does not own the unit. The request did not run.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct NotOwner {
    /// Offset up to which the home has read the log.
    #[prost(uint64, tag = "1")]
    pub offset: Offset,
}
