//! Limits on clients.

use std::time::Duration;

/// Limits on connections and requests. [`crate::RefusalReason`] lists the refusals that follow from them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Timeout for the client to read the rest of an answer, from the first write that blocks.
    pub answer_timeout: Duration,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum size of a request's line and headers, in bytes, at least 8,192.
    pub header_bytes: usize,
    /// Timeout for a request's line and headers, from their first byte, or from the opening of the connection for the
    /// first request.
    pub header_timeout: Duration,
    /// Maximum total size of all bodies and answers in memory, over all connections, in bytes.
    pub held_bytes: usize,
    /// Time after its last answer for which a connection may be idle, at least `header_timeout`.
    pub idle_timeout: Duration,
    /// Timeout for a request's body, from the end of its headers.
    pub request_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            answer_timeout: Duration::from_secs(10),
            body_bytes: 1 << 20,
            connections: 1024,
            header_bytes: 16 << 10,
            header_timeout: Duration::from_secs(5),
            held_bytes: 32 << 20,
            idle_timeout: Duration::from_secs(75),
            request_timeout: Duration::from_secs(10),
        }
    }
}
