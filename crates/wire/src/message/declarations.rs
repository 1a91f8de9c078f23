//! Knowledge of the declarations of operators.

use ids::Offset;
use prost::Message;

/// States that the declarations of operators ended at a position some time ago.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Declarations {
    /// Time since the declarations ended there, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub age_ms: u64,
    /// Position after the newest declaration.
    #[prost(uint64, tag = "2")]
    pub position: Offset,
}
