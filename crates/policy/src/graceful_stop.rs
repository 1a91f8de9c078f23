//! Requests that may start while a process stops.

use std::time::Duration;

/// Longest time after the begin of a stop in which any request may start, since units are still being moved.
const MAX_OPEN_TIME: Duration = Duration::from_secs(2);

/// Fraction of a stop in which any request may start, as a divisor.
const OPEN_TIME_DIVISOR: u32 = 3;

/// Time before the end of a stop by which the last answers must have arrived.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(250);

/// A graceful stop, which cuts the requests that still run at its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GracefulStop {
    /// Time at which the stop began.
    pub started: Duration,
    /// Maximum duration of the stop.
    pub timeout: Duration,
}

impl GracefulStop {
    /// Reports whether a request whose caller waits until `deadline` may start: early in the stop, or if it cannot still run at
    /// its end.
    pub fn admits(&self, now: Duration, deadline: Duration) -> bool {
        let open_time = MAX_OPEN_TIME.min(self.timeout / OPEN_TIME_DIVISOR);
        let end = self.started + self.timeout;
        now < self.started + open_time || deadline + LAST_ANSWERS_TIME <= end
    }
}
