//! Tolerance for workspaces that exceed their rate limits.

use std::time::Duration;

use policy::RateLimit;
use serde::Deserialize;

use crate::settings::SettingsError;
use crate::settings::range::check_range;

/// Share of the tolerance that is added to the burst, in percent. The rest covers requests that arrive later than they
/// are admitted.
const BURST_SHARE_PERCENT: u64 = 80;

/// Maximum excess of a workspace over its rate limit in any window of a given length.
///
/// The tolerance is added to the burst. A larger burst lets entries hold more tokens in advance, so that fewer requests
/// wait for a token.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateTolerance {
    /// Tolerated excess as a percentage of the limit in a window.
    pub excess_percent: u64,
    /// Tolerated excess as a number of requests in a window, added to the percentage.
    pub excess_requests: u64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

impl RateTolerance {
    pub(crate) fn check(&self) -> Result<(), SettingsError> {
        check_range("rate_tolerance.excess_percent", self.excess_percent, 0, 100)?;
        check_range(
            "rate_tolerance.excess_requests",
            self.excess_requests,
            0,
            1_000_000,
        )?;
        check_range("rate_tolerance.window_ms", self.window_ms, 100, 60_000)
    }

    /// Returns `limit` with the tolerance added to its burst.
    pub(crate) fn apply_to(&self, limit: RateLimit) -> RateLimit {
        let window = Duration::from_millis(self.window_ms).as_secs_f64();
        let rate = f64::from(limit.rate_requests_per_second);
        let in_window = (rate * window) as u64 + u64::from(limit.burst_requests);
        let excess = in_window * self.excess_percent / 100 + self.excess_requests;
        let excess = u32::try_from(excess * BURST_SHARE_PERCENT / 100).unwrap_or(u32::MAX);
        RateLimit {
            burst_requests: limit.burst_requests.saturating_add(excess),
            ..limit
        }
    }
}
