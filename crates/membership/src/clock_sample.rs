//! A sample of the upstream's clock.

use std::time::Duration;

use cluster::DRIFT_MARGIN;

/// A sample of the upstream's clock.
#[derive(Clone, Debug)]
pub(crate) struct ClockSample {
    /// Time at which this process received the sample.
    pub(crate) arrived_at: Duration,
    /// The upstream's monotonic clock, in milliseconds.
    pub(crate) clock_ms: u64,
}

impl ClockSample {
    /// Converts a time of this process to the upstream's clock. The sample was taken before it
    /// arrived, so the result is never later than `time`, however long this process is paused.
    pub(crate) fn expiry_ms(&self, time: Duration) -> u64 {
        let ahead = time.saturating_sub(self.arrived_at + DRIFT_MARGIN);
        self.clock_ms + u64::try_from(ahead.as_millis()).unwrap_or(u64::MAX / 2)
    }
}
