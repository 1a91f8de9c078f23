//! 95th percentile of recent latencies.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of latest latencies from which the percentile is computed.
const WINDOW: usize = 128;

/// Number of new latencies after which the percentile is computed again.
const REFRESH_INTERVAL: usize = 8;

/// 95th percentile of recent latencies.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentLatency {
    latencies: VecDeque<Duration>,
    p95: Option<Duration>,
    since_refresh: usize,
}

impl RecentLatency {
    pub(crate) fn observe(&mut self, latency: Duration) {
        self.latencies.push_back(latency);
        if self.latencies.len() > WINDOW {
            self.latencies.pop_front();
        }
        self.since_refresh += 1;
        if self.p95.is_none() || self.since_refresh >= REFRESH_INTERVAL {
            self.since_refresh = 0;
            self.p95 = self.compute_p95();
        }
    }

    pub(crate) fn p95(&self) -> Option<Duration> {
        self.p95
    }

    fn compute_p95(&self) -> Option<Duration> {
        let mut sorted: Vec<_> = self.latencies.iter().copied().collect();
        sorted.sort_unstable();
        sorted.get(sorted.len().checked_sub(1)? * 95 / 100).copied()
    }
}
