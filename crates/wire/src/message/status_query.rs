//! The question what became of a request.

use ids::RequestId;
use prost::Message;

/// Asks what became of a request. A home that has never seen the request bars it from then on.
#[derive(Clone, PartialEq, Message)]
pub struct StatusQuery {
    /// The request.
    #[prost(string, tag = "1")]
    pub request_id: RequestId,
    /// Unit that the request belongs to, absent for services without keys.
    #[prost(string, optional, tag = "2")]
    pub unit: Option<String>,
}
