//! One record as the log keeps it.

use ids::Offset;
use serde::Deserialize;
use serde::Serialize;

/// A record and its place in the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredRecord {
    /// The record, as appended.
    pub body: String,
    /// Place in the log.
    pub offset: Offset,
}
