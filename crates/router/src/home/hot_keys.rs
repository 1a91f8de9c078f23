//! Tracking of the keys that keep the most slots of the upstream busy.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::home::moving_mean::decay_factor;

/// Number of keys that are tracked at a time.
const COUNTED_KEYS: usize = 64;

/// Exponentially decaying busy time of one key, in seconds.
#[derive(Clone, Copy, Debug)]
struct Counter {
    busy: f64,
    /// Upper bound of the part of `busy` that belongs to evicted keys.
    error: f64,
}

/// Finds the keys that keep the most slots busy, in bounded memory, by the space-saving algorithm.
#[derive(Debug, Default)]
pub(crate) struct HotKeys {
    counters: BTreeMap<String, Counter>,
}

impl HotKeys {
    /// Records that a request with `key` kept a slot busy for `busy`.
    pub(crate) fn add(&mut self, key: &str, busy: Duration) {
        let busy = busy.as_secs_f64();
        if let Some(counter) = self.counters.get_mut(key) {
            counter.busy += busy;
            return;
        }
        let error = if self.counters.len() < COUNTED_KEYS {
            0.0
        } else {
            self.evict()
        };
        let counter = Counter {
            busy: busy + error,
            error,
        };
        self.counters.insert(key.to_owned(), counter);
    }

    /// Removes the key with the least busy time, and returns that time.
    fn evict(&mut self) -> f64 {
        let least = self
            .counters
            .iter()
            .min_by(|a, b| a.1.busy.total_cmp(&b.1.busy));
        let Some(key) = least.map(|(key, _)| key.clone()) else {
            return 0.0;
        };
        let evicted = self.counters.remove(&key);
        evicted.map_or(0.0, |counter| counter.busy)
    }

    /// Ends an interval, and returns for each tracked key a lower bound of the number of slots that it keeps busy.
    pub(crate) fn end_interval(
        &mut self,
        elapsed: Duration,
        time_constant: Duration,
    ) -> BTreeMap<String, f64> {
        let kept = decay_factor(elapsed, time_constant);
        let loads = self.counters.iter();
        let loads = loads
            .map(|(key, counter)| {
                let busy = counter.busy - counter.error;
                (key.clone(), busy / time_constant.as_secs_f64())
            })
            .collect();
        for counter in self.counters.values_mut() {
            counter.busy *= kept;
            counter.error *= kept;
        }
        loads
    }
}
