//! Budget for hedges and retries.

/// Maximum number of extra requests that the budget accumulates.
const MAX_SAVED_EXTRAS: f64 = 10.0;

/// Budget that hedges and retries share: a fraction of the callers' requests.
///
/// Under overload, when every request fails, extra requests stay below this fraction and can't cause a
/// retry storm.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    saved: f64,
}

impl RetryBudget {
    /// Creates a budget of `percent` extra requests per hundred; 0 allows no extra requests.
    pub fn new(percent: f64) -> Self {
        Self {
            ratio: percent / 100.0,
            saved: if percent > 0.0 { 1.0 } else { 0.0 },
        }
    }

    /// Adds the allowance for one request of a caller.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + self.ratio).min(MAX_SAVED_EXTRAS);
    }

    /// Spends one extra request, and returns whether the budget allowed it.
    pub fn try_spend(&mut self) -> bool {
        let has_extra = self.saved >= 1.0;
        if has_extra {
            self.saved -= 1.0;
        }
        has_extra
    }
}
