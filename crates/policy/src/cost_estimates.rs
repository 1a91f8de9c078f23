//! Learned costs of requests.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Cost;
use crate::CostKey;

/// Maximum number of kinds of requests whose costs are kept.
pub const MAX_COST_ENTRIES: usize = 512;

/// Time constant with which observations lose weight.
const DECAY_TIME: Duration = Duration::from_secs(5);

/// Cost of a request before any was observed.
const DEFAULT_COST: Duration = Duration::from_millis(10);

/// Minimum cost of a request. Requests that take no time would all be sent to one upstream.
const MIN_COST: Duration = Duration::from_micros(100);

/// Maximum weight of the earlier observations, in observations, so that frequent kinds adapt as well.
const MAX_WEIGHT: f64 = 64.0;

/// Part of a far-off observation that enters a mean at most.
const MAX_GAIN: f64 = 0.5;

/// Distance of an observation from the mean, in spreads, up to which it has no more weight than others.
const USUAL_DISTANCE: f64 = 3.0;

/// Number of far-off observations in a row that show a change.
const CHANGE_OBSERVATIONS: f64 = 3.0;

/// Weight of the earlier observations after a change.
const CHANGED_WEIGHT: f64 = 1.0;

/// Part of the mean that the spread counts as at least when the distance of an observation is judged.
const MIN_RELATIVE_SPREAD: f64 = 0.2;

/// Costs of requests by kind, learned from observations.
///
/// An observation weighs more the fewer there were within the last seconds, and the further off it is. The kind that was not
/// used for the longest time is evicted first.
#[derive(Clone, Debug, Default)]
pub struct CostEstimates {
    entries: BTreeMap<CostKey, Entry>,
    /// Number of uses of entries.
    uses: u64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Number of the last observations in a row that were far off, negative if they were below the mean.
    far_off: f64,
    last_use: u64,
    mean: f64,
    observed_at: Duration,
    spread: f64,
    weight: f64,
}

impl Entry {
    fn new(now: Duration, cost: f64) -> Self {
        Self {
            far_off: 0.0,
            last_use: 0,
            mean: cost,
            observed_at: now,
            spread: cost / 2.0,
            weight: 1.0,
        }
    }

    fn observe(&mut self, now: Duration, cost: f64) {
        let elapsed = now.saturating_sub(self.observed_at).as_secs_f64();
        self.observed_at = now;
        self.weight *= (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        self.weight = (self.weight + 1.0).min(MAX_WEIGHT);
        let difference = cost - self.mean;
        let spread = self.spread.max(self.mean * MIN_RELATIVE_SPREAD);
        let distance = difference.abs() / spread;
        let base = 1.0 / self.weight;
        let boost = (distance / USUAL_DISTANCE).max(1.0).powi(2);
        let gain = (base * boost).min(MAX_GAIN.max(base));
        self.mean += gain * difference;
        self.spread += base * (difference.abs() - self.spread);
        // Several far-off observations in a row on one side are a change and no noise.
        let side = match distance > USUAL_DISTANCE {
            true => difference.signum(),
            false => 0.0,
        };
        self.far_off = match side * self.far_off > 0.0 {
            true => self.far_off + side,
            false => side,
        };
        if self.far_off.abs() >= CHANGE_OBSERVATIONS {
            self.weight = self.weight.min(CHANGED_WEIGHT);
        }
    }
}

impl CostEstimates {
    /// Records the cost of a request that has ended.
    pub fn observe(&mut self, now: Duration, key: &CostKey, cost: Duration) {
        let cost = cost.max(MIN_COST).as_secs_f64();
        for level in key.levels() {
            self.uses += 1;
            let entry = self.entries.entry(level);
            let entry = entry
                .and_modify(|entry| entry.observe(now, cost))
                .or_insert_with(|| Entry::new(now, cost));
            entry.last_use = self.uses;
        }
        while self.entries.len() > MAX_COST_ENTRIES {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.last_use);
            let Some(key) = oldest.map(|(key, _)| key.clone()) else {
                return;
            };
            self.entries.remove(&key);
        }
    }

    /// Returns the expected cost of a request. An unknown one is expected to cost as much as a rather costly request of the
    /// next coarser kind that is known.
    pub fn estimate(&mut self, key: &CostKey) -> Cost {
        self.uses += 1;
        for (depth, level) in key.levels().enumerate() {
            let Some(entry) = self.entries.get_mut(&level) else {
                continue;
            };
            entry.last_use = self.uses;
            let uncertainty = if depth == 0 { 0.0 } else { entry.spread };
            return Cost {
                mean: Duration::from_secs_f64(entry.mean + uncertainty).max(MIN_COST),
                spread: Duration::from_secs_f64(entry.spread + uncertainty),
            };
        }
        Cost {
            mean: DEFAULT_COST,
            spread: DEFAULT_COST,
        }
    }

    /// Returns the number of kinds whose costs are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether no cost is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
