//! Setup of a simulation.

use policy::RateLimit;

/// Mechanism that the simulation disables.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Disabled {
    Nothing,
    OutstandingCount,
    EmptyStart,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Faults {
    None,
    /// An entry or the owner of a bucket is lost every 30 s.
    Losses,
    /// Losses, pauses and moves, about one per second, and lost, duplicated and slow messages.
    All,
}

#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) arrivals_per_second: f64,
    /// Whether the load alternates between 1.5 s at the base rate and 0.5 s at twenty times that rate.
    pub(crate) bursty: bool,
    pub(crate) entries: usize,
    /// Whether entries use the [`EvenSplit`](policy::EvenSplit) baseline in place of a token cache.
    pub(crate) even_split: bool,
    pub(crate) faults: Faults,
    pub(crate) limit: RateLimit,
    pub(crate) disabled: Disabled,
    pub(crate) seconds: u64,
    /// Weight of each entry's arrivals. Entries beyond the list have weight 1.
    pub(crate) weights: Vec<f64>,
}
