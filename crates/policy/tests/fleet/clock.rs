//! Simulated clock that drifts.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    pub(crate) offset: Duration,
    pub(crate) rate: f64,
}

impl Clock {
    pub(crate) fn draw(rng: &mut SmallRng) -> Self {
        Self {
            offset: Duration::from_millis(rng.random_range(0..100_000)),
            rate: [0.995, 1.0, 1.005][rng.random_range(0..3)],
        }
    }

    pub(crate) fn at(&self, real: Duration) -> Duration {
        self.offset + real.mul_f64(self.rate)
    }
}
