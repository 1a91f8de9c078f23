//! Counters of dropped input.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Counts dropped frames, handshakes and datagrams by reason.
#[derive(Debug, Default)]
pub struct DropCounters {
    malformed: AtomicU64,
    oversized: AtomicU64,
    unauthenticated: AtomicU64,
    unsupported_version: AtomicU64,
}

impl DropCounters {
    /// Returns the number of inputs that could not be decoded.
    pub fn malformed(&self) -> u64 {
        self.malformed.load(Ordering::Relaxed)
    }

    /// Returns the number of inputs that exceeded the length limit.
    pub fn oversized(&self) -> u64 {
        self.oversized.load(Ordering::Relaxed)
    }

    /// Returns the number of inputs whose sender did not prove that it knows the secret.
    pub fn unauthenticated(&self) -> u64 {
        self.unauthenticated.load(Ordering::Relaxed)
    }

    /// Returns the number of inputs with an unsupported protocol version.
    pub fn unsupported_version(&self) -> u64 {
        self.unsupported_version.load(Ordering::Relaxed)
    }

    pub(crate) fn count_malformed(&self) {
        self.malformed.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_oversized(&self) {
        self.oversized.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_unauthenticated(&self) {
        self.unauthenticated.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_unsupported_version(&self) {
        self.unsupported_version.fetch_add(1, Ordering::Relaxed);
    }
}
