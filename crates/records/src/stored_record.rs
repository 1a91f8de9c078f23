//! Record stored in the log.

use ids::Offset;
use serde::Deserialize;
use serde::Serialize;

/// A record and its offset in the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredRecord {
    /// The record, as appended.
    pub body: String,
    /// Offset in the log.
    pub offset: Offset,
}
