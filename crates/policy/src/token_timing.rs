//! How long tokens are held, and requests wait for them.

use std::time::Duration;

/// Part of a batch's time for which its tokens count as outstanding beyond it, one in this many.
pub(crate) const HOLD_MARGIN_DIVISOR: u32 = 50;

/// How long entries hold tokens, and requests wait for them.
///
/// Tokens that are held for longer save messages, and take more of the burst.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenTiming {
    /// Time for which a batch with tokens for expected requests may be used.
    pub prefetch_expiry: Duration,
    /// Time of demand that tokens are asked for in advance.
    pub prefetch_time: Duration,
    /// Shortest time after which a caller should send a request again that got no token.
    pub min_retry_after: Duration,
    /// Time for which a request waits for a token at large rates.
    pub min_wait: Duration,
    /// Tokens that a request waits for at small rates.
    pub wait_tokens: u32,
}

impl TokenTiming {
    /// Pacing for limits whose burst has room for the tokens that entries hold.
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
