//! Delays after which callers should retry refused requests.

use std::time::Duration;

/// Maximum delay after which a caller should retry a refused request.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The retry delay is the time until the deadline divided by this number, so that callers that wait for the whole delay
/// still have time for an answer.
const REMAINING_TIME_DIVISOR: u32 = 5;

/// Returns the delay after which a caller should retry a request.
pub(crate) fn retry_after(now: Duration, deadline: Duration) -> Duration {
    (deadline.saturating_sub(now) / REMAINING_TIME_DIVISOR).min(MAX_RETRY_AFTER)
}
