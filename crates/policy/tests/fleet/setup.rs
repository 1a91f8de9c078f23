//! What a run of the model is made of.

use policy::RateLimit;

/// A mechanism that the model turns off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Off {
    Nothing,
    CountingOutstanding,
    EmptyStart,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Faults {
    None,
    /// Every 30 s an entry or the owner of a bucket is lost.
    Losses,
    /// Losses, pauses, moves, and lost, doubled and slow messages, about one each second.
    All,
}

#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) arrivals_per_second: f64,
    /// Whether load is low for 1.5 s and then twenty times as high for 0.5 s, in turn.
    pub(crate) bursty: bool,
    pub(crate) entries: usize,
    /// Whether the baseline runs in place of the product.
    pub(crate) even_split: bool,
    pub(crate) faults: Faults,
    pub(crate) limit: RateLimit,
    pub(crate) off: Off,
    pub(crate) seconds: u64,
    /// Weight of each entry's arrivals; entries beyond the list have weight 1.
    pub(crate) weights: Vec<f64>,
}
