//! Settings of a link.

use std::time::Duration;

/// Timeouts and memory limits of a link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LinkSettings {
    /// Timeout for the connection and the handshake together.
    pub handshake_timeout: Duration,
    /// Time without pending calls and received frames after which the connecting end closes the link.
    /// The accepting end closes it after twice that time.
    pub idle_timeout: Duration,
    /// Maximum number of calls from the peer that are queued or run at once. Further calls are rejected
    /// without running.
    pub max_incoming_calls: usize,
    /// Maximum length of a frame in bytes.
    pub max_frame_bytes: usize,
    /// Time that a call waits without any frame from the peer before a ping is sent.
    pub ping_interval: Duration,
    /// Length of the queued packets, in bytes, above which further calls are rejected without being
    /// sent.
    pub max_queued_bytes: usize,
    /// Time that a call waits without any frame from the peer before the link closes. Also the timeout
    /// for writes that the peer does not read.
    pub silence_timeout: Duration,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            handshake_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(60),
            max_incoming_calls: 1024,
            max_frame_bytes: 4 << 20,
            ping_interval: Duration::from_millis(500),
            max_queued_bytes: 8 << 20,
            silence_timeout: Duration::from_secs(2),
        }
    }
}
