//! Random choice of keys.

use rand::Rng;
use rand::RngExt;

/// Zipf distribution over keys: the weight of key number `n` is `1 / n^skew`.
#[derive(Debug)]
pub(crate) struct KeyDistribution {
    /// For each key, the sum of the weights up to and including it.
    cumulative_weights: Vec<f64>,
}

impl KeyDistribution {
    pub(crate) fn new(count: u32, skew: f64) -> Self {
        let mut sum = 0.0;
        let weights = (1..=count).map(|number| f64::from(number).powf(-skew));
        let cumulative_weights = weights.map(|weight| {
            sum += weight;
            sum
        });
        Self {
            cumulative_weights: cumulative_weights.collect(),
        }
    }

    /// Returns a random key, or `None` if there are no keys.
    pub(crate) fn sample(&self, rng: &mut impl Rng) -> Option<String> {
        let total = self.cumulative_weights.last()?;
        let target = rng.random_range(0.0..*total);
        let index = self
            .cumulative_weights
            .partition_point(|sum| *sum <= target);
        Some(format!("key-{index}"))
    }
}
