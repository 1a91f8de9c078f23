//! Accounting of the memory that requests and answers use.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Bytes that one request and its answer use, subtracted from a total on drop.
#[derive(Debug)]
pub struct ByteReservation {
    bytes: usize,
    total: Arc<AtomicUsize>,
}

impl ByteReservation {
    /// Creates a reservation of no bytes.
    pub fn new(total: Arc<AtomicUsize>) -> Self {
        Self { bytes: 0, total }
    }

    /// Adds bytes without checking a limit.
    pub fn add(&mut self, bytes: usize) {
        self.total.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
    }

    /// Adds bytes even if `limit` is exceeded, and reports whether the total is still within it.
    pub fn add_and_check(&mut self, bytes: usize, limit: usize) -> bool {
        let previous = self.total.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        previous.saturating_add(bytes) <= limit
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.total.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
