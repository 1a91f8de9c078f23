//! Why a read failed.

use ids::Offset;
use thiserror::Error;

/// Why a read failed.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The records asked for have expired.
    #[error("the log keeps records from offset {first} on only: start from a snapshot")]
    Expired {
        /// Oldest offset that the log keeps.
        first: Offset,
    },
    /// The log could not be reached or gave no valid answer.
    #[error("the log cannot be read ({0}): retry later")]
    Unavailable(String),
}
