//! What a home learns of the requests that it runs and of its upstream, for placement by cost.

use std::time::Duration;

use ids::RequestId;

use crate::Cost;
use crate::CostEstimates;
use crate::CostKey;
use crate::HomeWork;
use crate::RemainingWork;
use crate::SpeedEstimate;

/// Time constant of the mean speed by which units are distributed. Keys are not served while their unit moves, so units do not
/// follow each change of the speed.
const UNIT_SPEED_TIME: Duration = Duration::from_secs(10);

/// Costs of requests, speed of the upstream and remaining work at one home.
#[derive(Clone, Debug, Default)]
pub struct HomeCosts {
    estimates: CostEstimates,
    mean_speed: Option<f64>,
    mean_speed_at: Duration,
    speed: SpeedEstimate,
    work: RemainingWork,
}

impl HomeCosts {
    /// Records that a request waits, and returns its expected cost.
    pub fn add(&mut self, id: RequestId, key: &CostKey) -> Cost {
        let cost = self.estimates.estimate(key);
        self.work.add(id, cost);
        cost
    }

    /// Records that a waiting request starts.
    pub fn start(&mut self, now: Duration, id: &str) {
        self.work.start(now, id);
    }

    /// Records that a request was answered `observed` after its start, before its end is recorded.
    pub fn record_answer(&mut self, now: Duration, key: &CostKey, observed: Duration) {
        if !self.estimates.is_empty() {
            let expected = self.estimates.estimate(key).mean;
            self.speed.observe(now, expected, observed);
        }
        let cost = observed.mul_f64(self.speed.stated());
        self.estimates.observe(now, key, cost);
    }

    /// Records that a request neither waits nor runs.
    pub fn end(&mut self, id: &str) {
        self.work.remove(id);
    }

    /// Records the speed that the upstream states of its machine, `None` if it states none.
    pub fn set_stated_speed(&mut self, speed: Option<f64>) {
        self.speed.set_stated(speed);
    }

    /// Forgets what was learned of an upstream that another one replaces.
    pub fn restart(&mut self) {
        self.estimates = CostEstimates::default();
        self.speed = SpeedEstimate::default();
        self.mean_speed = None;
    }

    /// Returns the expected cost of a request.
    pub fn estimate(&mut self, key: &CostKey) -> Cost {
        self.estimates.estimate(key)
    }

    /// Returns the speed of the upstream at present.
    pub fn speed(&self, now: Duration) -> f64 {
        self.speed.speed(now)
    }

    /// Returns the capacity by which units are distributed, in slots of an upstream of speed 1: `slots` times the mean speed.
    pub fn capacity(&mut self, now: Duration, slots: u32) -> f64 {
        let speed = self.speed.speed(now);
        let elapsed = now.saturating_sub(self.mean_speed_at).as_secs_f64();
        self.mean_speed_at = now;
        let kept = (-elapsed / UNIT_SPEED_TIME.as_secs_f64()).exp();
        let mean = self.mean_speed.unwrap_or(speed);
        let mean = mean * kept + speed * (1.0 - kept);
        self.mean_speed = Some(mean);
        mean * f64::from(slots)
    }

    /// Returns what the home states of its work in the reply to a request, or `None` until it has learned any cost.
    ///
    /// `max_rate` is the rate per slot at which a cold upstream may start requests, if it is cold.
    pub fn state(
        &mut self,
        now: Duration,
        key: &CostKey,
        max_rate: Option<f64>,
    ) -> Option<HomeWork> {
        if self.estimates.is_empty() {
            return None;
        }
        let cost = self.estimates.estimate(key).mean;
        let speed = self.speed.speed(now);
        let cold_speed = max_rate.map(|rate| rate * cost.as_secs_f64());
        Some(HomeWork {
            cost: Some(cost),
            remaining: self.work.total(now, speed),
            speed: cold_speed.map_or(speed, |cold_speed| cold_speed.min(speed)),
        })
    }
}
