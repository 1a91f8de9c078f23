//! Time of the last frame received from the peer.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Time of the last frame received from the peer, shared between the tasks of a link.
#[derive(Debug)]
pub(crate) struct LastReceived {
    milliseconds: AtomicU64,
    opened: Instant,
}

impl LastReceived {
    pub(crate) fn new() -> Self {
        Self {
            milliseconds: AtomicU64::new(0),
            opened: Instant::now(),
        }
    }

    /// Records that a frame was received now.
    pub(crate) fn record(&self) {
        let milliseconds = self.opened.elapsed().as_millis() as u64;
        self.milliseconds.store(milliseconds, Ordering::Relaxed);
    }

    /// Returns the time of the last frame, or the time at which the link opened if there was none.
    pub(crate) fn time(&self) -> Instant {
        self.opened + Duration::from_millis(self.milliseconds.load(Ordering::Relaxed))
    }
}
