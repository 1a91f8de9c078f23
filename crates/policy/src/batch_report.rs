//! Report of an entry on a batch.

use serde::Deserialize;
use serde::Serialize;

use crate::BatchId;

/// Report of an entry on the use of a batch so far. Reports are idempotent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BatchReport {
    /// Identity of the batch.
    pub batch: BatchId,
    /// Whether the entry will use no more tokens of the batch.
    pub closed: bool,
    /// Tokens used so far, which never decreases.
    pub used: u32,
}
