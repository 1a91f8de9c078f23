//! Outcome of a refused request.

use serde::Deserialize;
use serde::Serialize;

/// Outcome of a refused request: whether it can have run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request did not run, and will not.
    NotRun,
    /// The request may have run, or may still run.
    Unknown,
}

impl Outcome {
    /// Returns the machine-readable name.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}
