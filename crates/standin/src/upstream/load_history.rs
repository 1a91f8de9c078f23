//! The load that an upstream reports.

use std::collections::VecDeque;

/// Age at which samples are forgotten, in milliseconds.
const HISTORY_MS: u64 = 60_000;

/// LoadHistory over the last minute.
#[derive(Debug, Default)]
pub(crate) struct LoadHistory {
    samples: VecDeque<(u64, f64)>,
}

impl LoadHistory {
    /// Notes the load from `now_ms` on.
    pub(crate) fn record(&mut self, now_ms: u64, running: usize, slots: u32) {
        let load = (running as f64 / f64::from(slots.max(1))).min(1.0);
        self.samples.push_back((now_ms, load));
        while self.samples.len() > 1 && self.samples[1].0 + HISTORY_MS < now_ms {
            self.samples.pop_front();
        }
    }

    /// Returns the load at a time, in milliseconds of the upstream's clock.
    pub(crate) fn at(&self, ms: u64) -> f64 {
        self.samples
            .iter()
            .rev()
            .find(|(since, _)| *since <= ms)
            .map_or(0.0, |(_, load)| *load)
    }
}
