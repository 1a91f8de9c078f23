//! Times that requests take on one upstream.

use std::collections::BTreeMap;
use std::time::Duration;

/// Part that the newest request has in a mean, one in this many.
const NEWEST_PART: u32 = 16;

/// Part of its target latency that a request may wait on any upstream, one in this many: a refusal that comes sooner costs
/// its caller next to nothing.
const SHORTEST_WAIT_PART: u32 = 8;

/// Times that requests take on one upstream, by the target latency of their routes, since routes differ in their work.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    all: Option<Duration>,
    by_target: BTreeMap<Duration, Duration>,
}

impl ServiceTimes {
    /// Takes in how long a request has taken whose route has the target latency `target`.
    pub fn observe(&mut self, target: Duration, taken: Duration) {
        let mean = self.by_target.entry(target).or_insert(taken);
        *mean = next_mean(*mean, taken);
        self.all = Some(self.all.map_or(taken, |all| next_mean(all, taken)));
    }

    /// Forgets all times, as those of another upstream differ.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the time until which a request waits for one of `slots` behind `ahead` others, or nothing if its turn would
    /// come too late. `target` is the target latency of its route, and `left` what is left of that.
    pub fn wait_deadline(
        &self,
        now: Duration,
        target: Duration,
        left: Duration,
        ahead: usize,
        slots: u32,
    ) -> Option<Duration> {
        let until = now + self.max_wait(target, left);
        (now + self.expected_wait(ahead, slots) < until).then_some(until)
    }

    /// Returns how long a request may wait and still be answered within its target latency, on the mean.
    fn max_wait(&self, target: Duration, left: Duration) -> Duration {
        let taken = self.by_target.get(&target).or(self.all.as_ref());
        let left = left.saturating_sub(taken.copied().unwrap_or_default());
        left.max(target / SHORTEST_WAIT_PART)
    }

    /// Returns how long a request waits behind `ahead` others for one of `slots`.
    fn expected_wait(&self, ahead: usize, slots: u32) -> Duration {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let taken = self.all.unwrap_or_default();
        taken.saturating_mul(ahead) / slots.max(1)
    }
}

fn next_mean(mean: Duration, taken: Duration) -> Duration {
    (mean * (NEWEST_PART - 1) + taken) / NEWEST_PART
}
