//! One figure of a benchmark.

use serde::Deserialize;
use serde::Serialize;

/// One figure of a benchmark, beside its target.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Figure {
    /// The figure of the baseline, absent where there is none.
    pub(crate) baseline: Option<f64>,
    /// Whether the product meets the target, absent for a figure without target.
    pub(crate) met: Option<bool>,
    pub(crate) name: String,
    /// The figure of the product.
    pub(crate) product: f64,
    /// The target, absent for a figure that only informs.
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

    /// Sets the largest value that meets the target.
    pub(crate) fn at_most(mut self, target: f64) -> Self {
        self.target = Some(target);
        self.met = Some(self.product <= target);
        self
    }

    /// Sets the smallest value that meets the target.
    pub(crate) fn at_least(mut self, target: f64) -> Self {
        self.target = Some(target);
        self.met = Some(self.product >= target);
        self
    }

    /// Sets the figure of the baseline.
    pub(crate) fn with_baseline(mut self, baseline: f64) -> Self {
        self.baseline = Some(baseline);
        self
    }
}
