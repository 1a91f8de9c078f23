//! Reason for which the server refuses a request or a connection.

use thiserror::Error;

/// Reason for which a request or a connection was refused before its handler was called, so that no request ran.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum RefusalReason {
    /// The body exceeds the limit.
    #[error("the body is longer than {limit_bytes} bytes: send a smaller one")]
    BodyTooLarge {
        /// The limit, in bytes.
        limit_bytes: usize,
    },
    /// The body ended before the end that its headers state.
    #[error("the body was cut short: send the request again")]
    BodyTruncated,
    /// The bodies and answers of all requests together exceed the limit.
    #[error("the server holds as many bytes as it may: send the request again later")]
    Busy,
    /// The request line and headers exceed the limit.
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
    /// The limit of open connections is reached.
    #[error("{limit} connections are open: reuse connections, or use another VM")]
    TooManyConnections {
        /// The limit.
        limit: usize,
    },
}
