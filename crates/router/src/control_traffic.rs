//! Counters of the bytes that the control thread and the log threads send and receive.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde::Serialize;

/// Length of the IP and UDP headers of a datagram, in bytes.
const DATAGRAM_HEADER_BYTES: usize = 28;

/// Estimated length of the HTTP heads of a call to the log and of its response, in bytes.
const LOG_CALL_HEADER_BYTES: usize = 400;

/// Counts the bytes that the control thread and the log threads have sent and received.
#[derive(Debug, Default)]
pub(crate) struct ControlTraffic {
    datagram_bytes: AtomicU64,
    log_bytes: AtomicU64,
}

/// Bytes sent and received by the control thread and the log threads, as reported to operators.
#[derive(Debug, Serialize)]
pub(crate) struct ControlTrafficReport {
    /// Bytes of datagrams, including IP and UDP headers.
    pub(crate) datagram_bytes: u64,
    /// Bytes of calls to the log, including an estimate of each call's HTTP heads.
    pub(crate) log_bytes: u64,
}

impl ControlTraffic {
    /// Counts a datagram that was sent or received.
    pub(crate) fn count_datagram(&self, length: usize) {
        let bytes = (length + DATAGRAM_HEADER_BYTES) as u64;
        self.datagram_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Counts a call to the log that carried `length` bytes of records.
    pub(crate) fn count_log_call(&self, length: usize) {
        let bytes = (length + LOG_CALL_HEADER_BYTES) as u64;
        self.log_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Returns the current counts.
    pub(crate) fn report(&self) -> ControlTrafficReport {
        ControlTrafficReport {
            datagram_bytes: self.datagram_bytes.load(Ordering::Relaxed),
            log_bytes: self.log_bytes.load(Ordering::Relaxed),
        }
    }
}
