//! Limit on the rate of appends.

use std::time::Duration;
use std::time::Instant;

const WINDOW: Duration = Duration::from_secs(1);

/// Fixed-window rate limiter with windows of one second.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    limit: Option<u32>,
    window_start: Option<Instant>,
    used: u32,
}

impl RateLimiter {
    pub(crate) fn new(limit: Option<u32>) -> Self {
        Self {
            limit,
            window_start: None,
            used: 0,
        }
    }

    /// Counts one append, or returns `false` when the limit of the current window is reached.
    pub(crate) fn try_acquire(&mut self, now: Instant) -> bool {
        let Some(limit) = self.limit else {
            return true;
        };
        if self
            .window_start
            .is_none_or(|window_start| now >= window_start + WINDOW)
        {
            self.window_start = Some(now);
            self.used = 0;
        }
        if self.used >= limit {
            return false;
        }
        self.used += 1;
        true
    }
}
