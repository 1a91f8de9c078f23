//! Delay before a hedge.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::VmId;

use crate::recent_latency::RecentLatency;

/// Minimum time from dispatch to a hedge.
const MIN_DELAY: Duration = Duration::from_millis(2);

/// Time from dispatch to a hedge while no latency has been observed.
const DEFAULT_DELAY: Duration = Duration::from_millis(50);

/// Decides when an idempotent request without an answer is sent to a second upstream.
///
/// The delay is the median of the upstreams' p95 of recent latency, so that stragglers do not raise it
/// as long as they are fewer than half.
#[derive(Clone, Debug, Default)]
pub struct HedgePolicy {
    upstreams: BTreeMap<VmId, RecentLatency>,
}

impl HedgePolicy {
    /// Records the latency of an answer.
    pub fn observe(&mut self, vm: &VmId, latency: Duration) {
        if let Some(recent) = self.upstreams.get_mut(vm) {
            recent.observe(latency);
        }
    }

    /// Replaces the upstreams; the latencies of those that remain are kept.
    pub fn set_upstreams<'a>(&mut self, upstreams: impl Iterator<Item = &'a VmId>) {
        let mut known = std::mem::take(&mut self.upstreams);
        for vm in upstreams {
            let recent = known.remove(vm).unwrap_or_default();
            self.upstreams.insert(vm.clone(), recent);
        }
    }

    /// Returns the time after dispatch from which a hedge may be sent.
    pub fn delay(&self) -> Duration {
        let quantiles = self.upstreams.values().filter_map(RecentLatency::p95);
        let mut sorted: Vec<_> = quantiles.collect();
        sorted.sort_unstable();
        let middle = sorted.len().saturating_sub(1) / 2;
        let median = sorted.get(middle).copied().unwrap_or(DEFAULT_DELAY);
        median.max(MIN_DELAY)
    }
}
