//! State of a connection.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Tracks whether a connection is reading a request's headers, and how many bytes of them have arrived.
#[derive(Debug, Default)]
pub(crate) struct ConnectionState {
    are_headers_too_large: AtomicBool,
    /// Number of bytes that have arrived since a request's headers, with the framing of its body.
    body_bytes: AtomicUsize,
    has_served: AtomicBool,
    header_bytes: AtomicUsize,
    is_answering: AtomicBool,
    is_header_timed_out: AtomicBool,
    is_refused: AtomicBool,
}

impl ConnectionState {
    /// Records that a request's headers have arrived.
    pub(crate) fn begin_exchange(&self) {
        self.body_bytes.store(0, Ordering::Relaxed);
        self.is_answering.store(true, Ordering::Relaxed);
    }

    /// Records that an answer has ended, so that the next bytes belong to new headers.
    pub(crate) fn end_exchange(&self) {
        self.header_bytes.store(0, Ordering::Relaxed);
        self.is_answering.store(false, Ordering::Relaxed);
        self.has_served.store(true, Ordering::Relaxed);
    }

    /// Reports whether the header timeout applies: headers are incomplete, or the client has sent nothing yet on this
    /// connection.
    pub(crate) fn is_awaiting_headers(&self) -> bool {
        let is_idle = self.has_served.load(Ordering::Relaxed) && self.header_bytes() == 0;
        !self.is_answering.load(Ordering::Relaxed) && !is_idle
    }

    /// Records that headers exceeded their timeout.
    pub(crate) fn set_header_timed_out(&self) {
        self.is_header_timed_out.store(true, Ordering::Relaxed);
    }

    /// Reports whether headers exceeded their timeout.
    pub(crate) fn is_header_timed_out(&self) -> bool {
        self.is_header_timed_out.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes of incomplete headers that have arrived, or `None` while a request is answered.
    pub(crate) fn incomplete_header_bytes(&self) -> Option<usize> {
        let is_answering = self.is_answering.load(Ordering::Relaxed);
        (!is_answering).then(|| self.header_bytes())
    }

    /// Adds bytes that have arrived while headers are incomplete.
    pub(crate) fn add_header_bytes(&self, bytes: usize) {
        self.header_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Adds bytes that have arrived after a request's headers, and returns their number.
    pub(crate) fn add_body_bytes(&self, bytes: usize) -> usize {
        self.body_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes
    }

    /// Records that headers are incomplete at their size limit.
    pub(crate) fn set_headers_too_large(&self) {
        self.are_headers_too_large.store(true, Ordering::Relaxed);
    }

    /// Reports whether headers are incomplete at their size limit.
    pub(crate) fn are_headers_too_large(&self) -> bool {
        self.are_headers_too_large.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes that have arrived since the last answer.
    pub(crate) fn header_bytes(&self) -> usize {
        self.header_bytes.load(Ordering::Relaxed)
    }

    /// Records that the connection ends with a refusal.
    pub(crate) fn set_refused(&self) {
        self.is_refused.store(true, Ordering::Relaxed);
    }

    /// Reports whether the connection ends with a refusal.
    pub(crate) fn is_refused(&self) -> bool {
        self.is_refused.load(Ordering::Relaxed)
    }
}
