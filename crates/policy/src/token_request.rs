//! Request of an entry for tokens.

use serde::Deserialize;
use serde::Serialize;

use crate::BatchReport;
use crate::WantedTokens;

/// Request of an entry for tokens of one bucket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenRequest {
    /// Index of the bucket.
    pub bucket: u32,
    /// Identity of the token request at the entry.
    pub id: u64,
    /// Reports on the batches of the bucket that the entry holds.
    pub reports: Vec<BatchReport>,
    /// Numbers of tokens requested.
    pub wanted: WantedTokens,
}
