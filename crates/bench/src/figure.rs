//! A measured figure of a benchmark.

use serde::Deserialize;
use serde::Serialize;

/// A measured figure of a benchmark, with its target and baseline.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Figure {
    /// Value measured with the baseline, if the benchmark has one.
    pub(crate) baseline: Option<f64>,
    /// Whether the product meets the target, or `None` for a figure without a target.
    pub(crate) met: Option<bool>,
    pub(crate) name: String,
    /// Value measured with the product.
    pub(crate) product: f64,
    /// Limit that the product must meet, or `None` for an informational figure.
    pub(crate) target: Option<f64>,
    pub(crate) unit: String,
}

impl Figure {
    /// Creates a figure without a target.
    pub(crate) fn new(name: impl Into<String>, unit: impl Into<String>, product: f64) -> Self {
        Self {
            baseline: None,
            met: None,
            name: name.into(),
            product,
            target: None,
            unit: unit.into(),
        }
    }

    /// Sets the target as an upper limit, inclusive.
    pub(crate) fn at_most(mut self, target: f64) -> Self {
        self.target = Some(target);
        self.met = Some(self.product <= target);
        self
    }

    /// Sets the target as a lower limit, inclusive.
    pub(crate) fn at_least(mut self, target: f64) -> Self {
        self.target = Some(target);
        self.met = Some(self.product >= target);
        self
    }

    /// Sets the value measured with the baseline.
    pub(crate) fn with_baseline(mut self, baseline: f64) -> Self {
        self.baseline = Some(baseline);
        self
    }
}
