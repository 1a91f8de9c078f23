//! Errors of appends.

use thiserror::Error;

/// Reason that an append failed.
#[derive(Debug, Error)]
pub enum AppendError {
    /// The log refused the append. The record is not in the log.
    #[error("the log refused the append ({0}): nothing was written, retry later")]
    Refused(String),
    /// The response was lost or invalid. The record may be in the log.
    #[error("the log gave no answer ({0}): read the log to check whether the record is there")]
    Unknown(String),
}
