//! An upstream's answer.

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;

/// The complete answer to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The body.
    pub body: Bytes,
    /// Headers for the caller, without hop-by-hop headers and those exchanged only between home and upstream.
    pub headers: HeaderMap,
    /// Status code.
    pub status: StatusCode,
}
