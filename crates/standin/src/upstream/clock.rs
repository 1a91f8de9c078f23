//! Clock of an upstream.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::MonotonicUs;
use crate::monotonic_us;

/// Exclusive upper bound of the clock offset, in milliseconds.
const MAX_OFFSET_MS: u64 = 1_000_000_000;

/// Monotonic clock with a random offset, so that the clocks of upstreams differ.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    offset_ms: u64,
}

impl Clock {
    pub(crate) fn new(seed: u64) -> Self {
        let offset_ms = StdRng::seed_from_u64(seed).random_range(0..MAX_OFFSET_MS);
        Self { offset_ms }
    }

    /// Returns the current time on this clock, in milliseconds.
    pub(crate) fn now_ms(self) -> u64 {
        monotonic_us() / 1_000 + self.offset_ms
    }

    /// Converts a time on this clock, in milliseconds, to the monotonic clock of the host, in microseconds.
    pub(crate) fn to_monotonic_us(self, ms: u64) -> MonotonicUs {
        ms.saturating_sub(self.offset_ms) * 1_000
    }
}
