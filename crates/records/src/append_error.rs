//! Errors of appends.

use thiserror::Error;

/// Reason that an append failed.
#[derive(Debug, Error)]
pub enum AppendError {
    /// The log refused the append for now. The record is not in the log.
    #[error("the log refused the append ({0}): nothing was written, retry later")]
    Refused(String),
    /// The log does not accept the record, however often it is appended. The record is not in the log.
    #[error("the log does not accept the record ({0}): append a shorter or a correct one")]
    Unacceptable(String),
    /// The response was lost or invalid. The record may be in the log.
    #[error("the log gave no answer ({0}): read the log to check whether the record is there")]
    Unknown(String),
}
