//! The answer to a read.

use ids::Offset;
use serde::Deserialize;
use serde::Serialize;

use crate::StoredRecord;

/// Consecutive records of the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// Oldest offset that the log keeps.
    pub first: Offset,
    /// Offset that the next append will take.
    pub next: Offset,
    /// The records, in order.
    pub records: Vec<StoredRecord>,
}
