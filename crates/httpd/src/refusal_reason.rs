//! Why the server turned a client away.

use thiserror::Error;

/// Why a request never reached its handler. None of these requests ran.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum RefusalReason {
    /// The body is longer than the limit.
    #[error("the body is longer than {limit_bytes} bytes: send a smaller one")]
    BodyTooLarge {
        /// The limit, in bytes.
        limit_bytes: usize,
    },
    /// The body did not end as its headers said.
    #[error("the body was cut short: send the request again")]
    BodyTruncated,
    /// The bodies of all requests together are longer than the limit.
    #[error("the server holds as many bytes as it may: send the request again later")]
    Busy,
    /// The request line and headers are longer than the limit.
    #[error("the request line and headers are longer than {limit_bytes} bytes: send fewer")]
    HeadersTooLarge {
        /// The limit, in bytes.
        limit_bytes: usize,
    },
    /// The request took longer to arrive than the limit.
    #[error("the request took longer to arrive than {limit_ms} ms: send it faster")]
    Timeout {
        /// The limit, in milliseconds.
        limit_ms: u64,
    },
    /// As many connections as allowed are open.
    #[error("{limit} connections are open: reuse connections, or use another VM")]
    TooManyConnections {
        /// The limit.
        limit: usize,
    },
}
