//! Work that an upstream still has to do.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::RequestId;

use crate::Cost;

/// One part in this many of its cost that a running request still needs at least, however long it has run.
const MIN_LEFT_DIVISOR: u32 = 8;

/// Work that an upstream still has to do for the requests that wait or run at its home.
#[derive(Clone, Debug, Default)]
pub struct RemainingWork {
    running: BTreeMap<RequestId, RunningWork>,
    waiting: BTreeMap<RequestId, Cost>,
    /// Sum of the mean costs of waiting requests.
    waiting_sum: Duration,
}

#[derive(Clone, Copy, Debug)]
struct RunningWork {
    cost: Cost,
    started_at: Duration,
}

impl RunningWork {
    /// Returns the work that is probably left. A request that has run for longer than expected takes long.
    fn left(&self, now: Duration, speed: f64) -> Duration {
        let done = now.saturating_sub(self.started_at).mul_f64(speed);
        let min_left = match done > self.cost.mean {
            true => self.cost.spread.max(self.cost.mean / MIN_LEFT_DIVISOR),
            false => self.cost.mean / MIN_LEFT_DIVISOR,
        };
        self.cost.mean.saturating_sub(done).max(min_left)
    }
}

impl RemainingWork {
    /// Records that a request waits.
    pub fn add(&mut self, id: RequestId, cost: Cost) {
        self.remove(&id);
        self.waiting_sum += cost.mean;
        self.waiting.insert(id, cost);
    }

    /// Records that a waiting request starts.
    pub fn start(&mut self, now: Duration, id: &str) {
        if let Some((id, cost)) = self.waiting.remove_entry(id) {
            self.waiting_sum = self.waiting_sum.saturating_sub(cost.mean);
            let started_at = now;
            self.running.insert(id, RunningWork { cost, started_at });
        }
    }

    /// Records that a request neither waits nor runs, and returns the cost that was expected.
    pub fn remove(&mut self, id: &str) -> Option<Cost> {
        if let Some(cost) = self.waiting.remove(id) {
            self.waiting_sum = self.waiting_sum.saturating_sub(cost.mean);
            return Some(cost);
        }
        self.running.remove(id).map(|running| running.cost)
    }

    /// Returns the work that is left for an upstream with `speed`, as time on an upstream of speed 1.
    pub fn total(&self, now: Duration, speed: f64) -> Duration {
        let running = self.running.values();
        let running: Duration = running.map(|running| running.left(now, speed)).sum();
        self.waiting_sum + running
    }
}
