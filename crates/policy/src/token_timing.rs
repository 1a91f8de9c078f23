//! Hold times of tokens and wait times of requests.

use std::time::Duration;

/// Margin for which the owner counts a batch as outstanding after its expiry: one in this many of the batch's lifetime.
pub(crate) const HOLD_MARGIN_DIVISOR: u32 = 50;

/// Times for which entries hold tokens and requests wait for them.
///
/// Holding tokens for longer saves messages, but occupies more of the burst.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenTiming {
    /// Time for which a batch that includes prefetched tokens may be used.
    pub prefetch_expiry: Duration,
    /// Period for which tokens are prefetched, at the recent request rate.
    pub prefetch_time: Duration,
    /// Shortest time after which a caller should retry a refused request.
    pub min_retry_after: Duration,
    /// Shortest time for which a request waits for a token, which applies at high rates.
    pub min_wait: Duration,
    /// Maximum wait of a request at low rates, as the number of tokens refilled meanwhile.
    pub wait_tokens: u32,
}

impl TokenTiming {
    /// Timing for limits whose burst is large enough for the tokens that entries hold.
    pub const RELAXED: Self = Self {
        prefetch_expiry: Duration::from_millis(1_500),
        prefetch_time: Duration::from_millis(1_500),
        min_retry_after: Duration::from_millis(20),
        min_wait: Duration::from_millis(15),
        wait_tokens: 0,
    };

    /// Returns the longest time for which a batch counts as outstanding.
    pub fn max_hold(&self) -> Duration {
        self.prefetch_expiry + self.prefetch_expiry / HOLD_MARGIN_DIVISOR
    }
}

impl Default for TokenTiming {
    fn default() -> Self {
        Self {
            prefetch_expiry: Duration::from_millis(500),
            prefetch_time: Duration::from_millis(200),
            min_retry_after: Duration::ZERO,
            min_wait: Duration::from_millis(250),
            wait_tokens: 8,
        }
    }
}
