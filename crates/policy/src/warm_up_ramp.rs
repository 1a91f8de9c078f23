//! Gradual increase of load.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Gradual increase of load on an upstream that starts cold or returns to service.
///
/// The fraction of the full load grows with the square of the time. So it stays below the capacity of
/// an upstream that warms up linearly, or with the square of the time, within the length of the ramp.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WarmUpRamp {
    length: Duration,
    start: Duration,
}

impl WarmUpRamp {
    /// Creates a ramp that starts at `now`.
    pub fn new(now: Duration, length: Duration) -> Self {
        Self { length, start: now }
    }

    /// Returns the allowed fraction of the full load, from 0 to 1.
    pub fn fraction(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.start);
        if elapsed >= self.length {
            return 1.0;
        }
        let fraction = elapsed.as_secs_f64() / self.length.as_secs_f64();
        fraction * fraction
    }

    /// Reports whether the full load is reached.
    pub fn is_over(&self, now: Duration) -> bool {
        now.saturating_sub(self.start) >= self.length
    }

    /// Returns the allowed load, from 1 to `full`.
    pub fn allowed_load(&self, now: Duration, full: u32) -> u32 {
        let above_one = f64::from(full.saturating_sub(1)) * self.fraction(now);
        // The cast drops the fraction, so that the ramp stays below the curve.
        1 + above_one as u32
    }
}
