//! Query for the status of a request.

use ids::RequestId;
use prost::Message;

/// Queries the status of a request. A home that has never received the request marks it as
/// barred, so that it will not run later.
#[derive(Clone, PartialEq, Message)]
pub struct StatusQuery {
    /// The request.
    #[prost(string, tag = "1")]
    pub request_id: RequestId,
    /// Unit that the request belongs to, absent for services without keys.
    #[prost(string, optional, tag = "2")]
    pub unit: Option<String>,
}
