//! An entry's ask for tokens.

use serde::Deserialize;
use serde::Serialize;

use crate::BatchReport;
use crate::WantedTokens;

/// An entry's ask for tokens of one bucket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenRequest {
    /// Index of the bucket.
    pub bucket: u32,
    /// Identity of the ask at the entry.
    pub id: u64,
    /// What the entry has done with batches of the bucket.
    pub reports: Vec<BatchReport>,
    /// Tokens that the entry asks for.
    pub wanted: WantedTokens,
}
