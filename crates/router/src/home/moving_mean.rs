//! Exponentially weighted moving mean.

use std::time::Duration;

/// Exponentially weighted mean of the number of slots that something keeps busy.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingMean {
    sum: f64,
    weight: f64,
}

impl MovingMean {
    /// Adds an interval of length `elapsed` in which slots were busy for `busy` in total.
    ///
    /// A new load makes up 63% of the mean after `time_constant`.
    pub(crate) fn add(&mut self, busy: Duration, elapsed: Duration, time_constant: Duration) {
        if elapsed.is_zero() {
            return;
        }
        let kept = decay_factor(elapsed, time_constant);
        let load = busy.as_secs_f64() / elapsed.as_secs_f64();
        self.sum = self.sum * kept + load * (1.0 - kept);
        self.weight = self.weight * kept + (1.0 - kept);
    }

    /// Returns the mean since the first interval, or zero before it.
    pub(crate) fn value(&self) -> f64 {
        if self.weight > 0.0 {
            self.sum / self.weight
        } else {
            0.0
        }
    }
}

/// Returns the weight that an earlier load still has after `elapsed`, from 0 to 1.
pub(crate) fn decay_factor(elapsed: Duration, time_constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
