//! Result of a read.

use ids::Generation;
use ids::Offset;
use serde::Deserialize;
use serde::Serialize;

use crate::StoredRecord;

/// Consecutive records of the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// Oldest offset that the log keeps.
    pub first: Offset,
    /// Current generation of the log. If it is later than that of the records, no more follow in theirs.
    #[serde(default)]
    pub generation: Generation,
    /// Offset of the next record to be appended.
    pub next: Offset,
    /// The records, in order.
    pub records: Vec<StoredRecord>,
}
