//! Result of a benchmark run.

use serde::Deserialize;
use serde::Serialize;

use crate::figure::Figure;

/// Result of a benchmark run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Report {
    pub(crate) bench: String,
    pub(crate) seed: u64,
    pub(crate) figures: Vec<Figure>,
}

impl Report {
    pub(crate) fn new(bench: &str, seed: u64, figures: Vec<Figure>) -> Self {
        Self {
            bench: bench.to_owned(),
            seed,
            figures,
        }
    }

    /// Reports whether no figure misses its target.
    pub(crate) fn meets_targets(&self) -> bool {
        self.figures.iter().all(|figure| figure.met != Some(false))
    }
}
