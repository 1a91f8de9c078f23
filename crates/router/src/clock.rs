//! Monotonic time since the start of the process, and wall-clock time.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Measures time since the start of the process, on a clock that keeps running while the machine is suspended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Duration,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self {
            start: since_boot(),
        }
    }

    /// Returns the time since the start of the process.
    pub(crate) fn now(&self) -> Duration {
        since_boot().saturating_sub(self.start)
    }

    /// Converts a time on this clock to an [`Instant`], which is correct only if the machine isn't suspended before then.
    pub(crate) fn instant_at(&self, at: Duration) -> Instant {
        Instant::now() + at.saturating_sub(self.now())
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::try_from(time).unwrap_or_default()
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    milliseconds(since)
}

/// Returns a duration in whole milliseconds.
pub(crate) fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
