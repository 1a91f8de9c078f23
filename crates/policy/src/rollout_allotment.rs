//! Credit of an entry for requests to a version on trial.

/// Largest credit that an entry keeps unused, so that a trial that returns gets no burst.
const MAX_CREDIT: f64 = 8.0;

/// Credit of one entry for requests to the version on trial of one service.
///
/// Only answers add credit, so requests without an answer never do. The credit at the start is the only part that the share
/// doesn't cover. Its sum over all entries is at most the number of extra requests that the settings allow. An entry that
/// restarts loses about as much credit as it starts with, so that restarts add nothing in the mean.
#[derive(Clone, Copy, Debug)]
pub struct RolloutAllotment {
    credit: f64,
}

impl RolloutAllotment {
    /// Creates the allotment of an entry.
    ///
    /// The `phase` is the entry's rank among the entries, plus 0.5, over their number. It spreads the first requests of
    /// entries evenly over the answers that they see. `max_extra` is the entry's part of the extra requests that the settings
    /// allow: their number over that of entries. Where it is below 0.5, it lowers the credit at the start.
    pub fn new(phase: f64, max_extra: f64) -> Self {
        // The mean phase is 0.5, so the sum over all entries is at most the number of extra requests.
        let scale = (2.0 * max_extra).clamp(0.0, 1.0);
        Self {
            credit: phase.clamp(0.0, 1.0) * scale,
        }
    }

    /// Records an answer of the service, of either version, while the trial gets the fraction `share` of the requests.
    pub fn record_answer(&mut self, share: f64) {
        self.credit = (self.credit + share).min(MAX_CREDIT);
    }

    /// Takes the credit for one request to the trial. Reports whether there was enough.
    pub fn try_take(&mut self) -> bool {
        let is_enough = self.credit >= 1.0;
        if is_enough {
            self.credit -= 1.0;
        }
        is_enough
    }
}
