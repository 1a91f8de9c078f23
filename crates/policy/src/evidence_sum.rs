//! Cumulative sum of a sequential test.

/// Cumulative sum of log likelihood ratios, with the answers that it covers.
///
/// A sum that falls below zero starts again.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct EvidenceSum {
    /// Answers since the sum was last zero.
    pub(crate) answers: f64,
    /// Bad ones among these answers.
    pub(crate) bad: f64,
    /// Log likelihood ratio of these answers.
    pub(crate) value: f64,
}

impl EvidenceSum {
    /// Returns the increment of answers of which `bad` are bad, when a fraction of `expected` is bad in the null hypothesis and
    /// one of `alternative` in the other.
    pub(crate) fn increment(answers: f64, bad: f64, expected: f64, alternative: f64) -> Self {
        let by_bad = bad * (alternative / expected).ln();
        let by_good = (answers - bad) * ((1.0 - alternative) / (1.0 - expected)).ln();
        Self {
            answers,
            bad,
            value: by_bad + by_good,
        }
    }

    /// Adds a part of an increment, without starting again.
    pub(crate) fn add(&mut self, increment: &Self, weight: f64) {
        self.answers += increment.answers * weight;
        self.bad += increment.bad * weight;
        self.value += increment.value * weight;
    }

    /// Returns the sum after an increment of all upstreams, without the part of one of them.
    pub(crate) fn after(&self, increment: &Self, left_out: &Self) -> Self {
        let sum = Self {
            answers: self.answers + increment.answers - left_out.answers,
            bad: self.bad + increment.bad - left_out.bad,
            value: self.value + increment.value - left_out.value,
        };
        if sum.value > 0.0 {
            sum
        } else {
            Self::default()
        }
    }
}
