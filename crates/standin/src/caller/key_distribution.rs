//! The choice of keys.

use rand::Rng;
use rand::RngExt;

/// KeyDistribution with the skew of a stream.
#[derive(Debug)]
pub(crate) struct KeyDistribution {
    /// For each key the sum of the weights up to it.
    sums: Vec<f64>,
}

impl KeyDistribution {
    pub(crate) fn new(count: u32, skew: f64) -> Self {
        let mut sum = 0.0;
        let weights = (1..=count).map(|number| f64::from(number).powf(-skew));
        let sums = weights.map(|weight| {
            sum += weight;
            sum
        });
        Self {
            sums: sums.collect(),
        }
    }

    /// Returns a key, or `None` when there are none.
    pub(crate) fn choose(&self, rng: &mut impl Rng) -> Option<String> {
        let total = self.sums.last()?;
        let target = rng.random_range(0.0..*total);
        let index = self.sums.partition_point(|sum| *sum <= target);
        Some(format!("key-{index}"))
    }
}
