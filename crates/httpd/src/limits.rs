//! What the server accepts from its clients.

use std::time::Duration;

/// Bounds on connections and requests. Each has a refusal of its own in [`crate::RefusalReason`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Time to take a whole answer, from the moment that the client's window is full.
    pub answer_timeout: Duration,
    /// Size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Number of connections that are open at once.
    pub connections: usize,
    /// Size of a request's line and headers, in bytes, at least 8,192.
    pub header_bytes: usize,
    /// Time to send a request's line and headers, from their first byte, or from the opening of the connection.
    pub header_timeout: Duration,
    /// Size of all bodies and answers that are held at once, over all connections, in bytes.
    pub held_bytes: usize,
    /// Time after its last answer for which a connection may stay open without a request, at least `header_timeout`.
    pub idle_timeout: Duration,
    /// Time to send the whole request, from its last header to the end of its body.
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
