//! Speed of an upstream at present.

use std::time::Duration;

/// Smallest speed that an upstream is taken to have.
pub const MIN_SPEED: f64 = 0.25;

/// Largest speed that an upstream is taken to have.
pub const MAX_SPEED: f64 = 4.0;

/// Time constant with which observations lose weight.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// Number of requests of usual cost that the assumed speed counts as. Requests that look alike differ, and few of them say little
/// about the speed.
const ASSUMED_REQUESTS: f64 = 8.0;

/// Speed of an upstream at present: the ratio of the expected to the observed times of requests within about a second.
#[derive(Clone, Debug, Default)]
pub struct SpeedEstimate {
    count: f64,
    expected: f64,
    observed: f64,
    observed_at: Duration,
    /// Speed that the upstream states, `None` while it states none.
    stated: Option<f64>,
}

impl SpeedEstimate {
    /// Records a request that was expected to take `expected` at speed 1, and took `observed`.
    pub fn observe(&mut self, now: Duration, expected: Duration, observed: Duration) {
        let kept = self.kept(now);
        self.observed_at = now;
        self.count = self.count * kept + 1.0;
        self.expected = self.expected * kept + expected.as_secs_f64();
        self.observed = self.observed * kept + observed.as_secs_f64();
    }

    /// Records the speed that the upstream states.
    pub fn set_stated(&mut self, speed: Option<f64>) {
        self.stated = speed.map(bounded);
    }

    /// Returns the speed that the upstream states, or 1.
    pub fn stated(&self) -> f64 {
        self.stated.unwrap_or(1.0)
    }

    /// Returns the speed, from 0.25 to 4.
    pub fn speed(&self, now: Duration) -> f64 {
        if self.count == 0.0 {
            return self.stated();
        }
        let kept = self.kept(now);
        let assumed = ASSUMED_REQUESTS * self.expected / self.count;
        let observed = self.observed * kept + assumed / self.stated();
        bounded((self.expected * kept + assumed) / observed)
    }

    fn kept(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.observed_at).as_secs_f64();
        (-elapsed / DECAY_TIME.as_secs_f64()).exp()
    }
}

fn bounded(speed: f64) -> f64 {
    match speed.is_finite() {
        true => speed.clamp(MIN_SPEED, MAX_SPEED),
        false => 1.0,
    }
}
