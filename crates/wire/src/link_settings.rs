//! Settings of a link.

use std::time::Duration;

/// Bounds on the time and the memory that a link takes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LinkSettings {
    /// Time to connect and prove identity.
    pub handshake_timeout: Duration,
    /// Time without calls and frames after which the connecting end closes the link, and the accepting end after twice
    /// that.
    pub idle_timeout: Duration,
    /// Number of the peer's calls that wait or run at once. More are refused as not run.
    pub max_incoming_calls: usize,
    /// Length of a frame, in bytes.
    pub max_frame_bytes: usize,
    /// Time that a call waits, without any frame from the peer, before a ping is sent.
    pub ping_interval: Duration,
    /// Length of all packets that wait to be sent, in bytes. More calls are refused as not sent.
    pub max_queued_bytes: usize,
    /// Time that a call waits, without any frame from the peer, before the link closes. Also the time that the peer may
    /// take to read what is written.
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
