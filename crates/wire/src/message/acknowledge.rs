//! Acknowledgment of received answers.

use ids::RequestId;
use prost::Message;

/// Acknowledges answers, so that the home may discard them.
#[derive(Clone, PartialEq, Message)]
pub struct Acknowledge {
    /// Requests whose answers have arrived.
    #[prost(string, repeated, tag = "1")]
    pub request_ids: Vec<RequestId>,
}
