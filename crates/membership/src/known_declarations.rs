//! What members know of the declarations of operators, and how recent that is.

use ids::Offset;
use serde::Deserialize;
use serde::Serialize;

/// Statement that the declarations of operators ended at a position some time ago, which members pass on to each other.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownDeclarations {
    /// Time since the declarations ended there, in milliseconds.
    pub age_ms: u64,
    /// Position after the newest declaration.
    pub position: Offset,
}
