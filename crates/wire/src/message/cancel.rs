//! Cancellation of a request.

use ids::RequestId;
use prost::Message;

/// Cancels a request whose caller no longer waits.
#[derive(Clone, PartialEq, Message)]
pub struct Cancel {
    /// The request.
    #[prost(string, tag = "1")]
    pub request_id: RequestId,
}
