//! Record of the log.

use ids::RecordId;
use serde::Deserialize;
use serde::Serialize;

use crate::Body;

/// Record as its writer appends it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Content of the record.
    pub body: Body,
    /// Unique id, which stays the same if the append is repeated.
    pub id: RecordId,
    /// VM or operator that wrote the record.
    pub writer: String,
}
