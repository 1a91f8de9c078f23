//! Error of an invalid announcement.

use std::net::SocketAddr;

use thiserror::Error;

/// Error of an invalid announcement.
#[derive(Debug, Error)]
pub enum AnnouncementError {
    /// The address has port 0 or an unspecified IP, so no connection can be opened to it.
    #[error("`address` is {0}: give the IP number and port that the upstream listens on")]
    Address(SocketAddr),
    /// The announcement is not valid JSON, or a value is missing or has the wrong type.
    #[error("`{path}`: {reason}: see the announcement in the page of interfaces")]
    Json {
        /// Path of the invalid value.
        path: String,
        /// Reason why the value is invalid.
        reason: String,
    },
    /// A name is empty, too long, or has characters that are not allowed.
    #[error("`{field}` is `{value}`: use 1 to 128 letters, digits, `-`, `_` and `.`")]
    Name {
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// A count is zero.
    #[error("`{field}` is 0: use at least 1")]
    Zero {
        /// The field.
        field: &'static str,
    },
}
