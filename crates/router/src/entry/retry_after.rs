//! When callers should send refused requests again.

use std::time::Duration;

/// Longest time after which a caller should send a refused request again.
const LONGEST: Duration = Duration::from_secs(1);

/// Part of the time that is left after which a caller should send a refused request again, one in so many. Callers who
/// wait for the whole of it still have time for an answer.
const PART: u32 = 5;

/// Returns the time after which a caller should send a request again.
pub(crate) fn retry_after(now: Duration, deadline: Duration) -> Duration {
    (deadline.saturating_sub(now) / PART).min(LONGEST)
}
