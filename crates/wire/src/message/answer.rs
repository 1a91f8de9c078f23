//! Answer of an upstream.

use bytes::Bytes;
use prost::Message;

use crate::Header;
use crate::HomeLoad;

/// The complete HTTP response of an upstream.
#[derive(Clone, PartialEq, Message)]
pub struct Answer {
    /// HTTP status code.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Headers that are returned to the caller.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<Header>,
    /// The body.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
    /// Load of the home, absent unless the entry needs it.
    #[prost(message, optional, tag = "4")]
    pub load: Option<HomeLoad>,
}
