//! Why an append failed.

use thiserror::Error;

/// Why an append failed.
#[derive(Debug, Error)]
pub enum AppendError {
    /// The log refused the record, which is not in the log.
    #[error("the log refused the append ({0}): nothing was written, retry later")]
    Refused(String),
    /// The answer was lost, and the record may be in the log.
    #[error("the log gave no answer ({0}): read the log to learn whether the record is there")]
    Unknown(String),
}
