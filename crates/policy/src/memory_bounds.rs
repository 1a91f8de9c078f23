//! Bounds of the request memory.

use std::time::Duration;

/// Bounds of a [`RequestMemory`](crate::RequestMemory).
#[derive(Clone, Copy, Debug)]
pub struct MemoryBounds {
    /// Bytes above which no new request is accepted.
    pub bytes: usize,
    /// Largest difference between the wall clock of any home and true time.
    pub clock_margin: Duration,
    /// Number of requests, or of ids if that is larger, above which no new request is accepted.
    pub count: usize,
    /// Time for which an answer without idempotency key is kept unless it is acknowledged earlier.
    pub keep_answer: Duration,
    /// Time for which an idempotency key or a barred request is kept.
    pub keep_key: Duration,
}

impl Default for MemoryBounds {
    fn default() -> Self {
        Self {
            bytes: 16 << 20,
            clock_margin: Duration::from_millis(500),
            count: 50_000,
            keep_answer: Duration::from_secs(10),
            keep_key: Duration::from_secs(600),
        }
    }
}
