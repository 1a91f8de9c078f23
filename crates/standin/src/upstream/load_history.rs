//! History of an upstream's load.

use std::collections::VecDeque;

/// Age after which samples are dropped, in milliseconds.
const MAX_SAMPLE_AGE_MS: u64 = 60_000;

/// Load of the last minute, as samples of the time and the load from then on.
#[derive(Debug, Default)]
pub(crate) struct LoadHistory {
    samples: VecDeque<(u64, f64)>,
}

impl LoadHistory {
    /// Records the load from `now_ms` on, as the share of slots in use, at most 1.
    pub(crate) fn record(&mut self, now_ms: u64, running: usize, slots: u32) {
        let load = (running as f64 / f64::from(slots.max(1))).min(1.0);
        self.samples.push_back((now_ms, load));
        while self.samples.len() > 1 && self.samples[1].0 + MAX_SAMPLE_AGE_MS < now_ms {
            self.samples.pop_front();
        }
    }

    /// Returns the load at a time, in milliseconds on the upstream's clock, or 0 before the first sample.
    pub(crate) fn load_at(&self, ms: u64) -> f64 {
        self.samples
            .iter()
            .rev()
            .find(|(since, _)| *since <= ms)
            .map_or(0.0, |(_, load)| *load)
    }
}
