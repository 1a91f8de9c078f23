//! What a record changed.

use crate::Change;

/// Whether a record took effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The record took effect, with these changes in this order.
    Applied(Vec<Change>),
    /// The record is a repetition of one that was read before.
    Repeated,
    /// The record has no effect, for the reason given.
    Rejected(String),
}
