//! Outcome of applying a record.

use crate::Change;

/// Outcome of applying a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The record took effect, with these changes in this order.
    Applied(Vec<Change>),
    /// The record is part of one that takes effect once its other parts are read.
    Incomplete,
    /// The record was applied before, and changed nothing this time.
    Repeated,
    /// The record had no effect, for the given reason.
    Rejected(String),
}
