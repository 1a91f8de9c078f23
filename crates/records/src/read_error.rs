//! Errors of reads.

use ids::Offset;
use thiserror::Error;

/// Reason that a read failed.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The requested records have expired.
    #[error("the log keeps records from offset {first} on only: start from a snapshot")]
    Expired {
        /// Oldest offset that the log keeps.
        first: Offset,
    },
    /// The log is unreachable or returned no valid response.
    #[error("the log cannot be read ({0}): retry later")]
    Unavailable(String),
}
