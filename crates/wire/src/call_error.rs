//! Errors of calls.

use thiserror::Error;

/// Reason that a call has no reply.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum CallError {
    /// The peer rejected the call without running it, since it has too many calls.
    #[error("the peer is busy and rejected the call: retry later")]
    Busy,
    /// The call did not leave this process.
    #[error("the call was not sent, since the link is closed or full: retry on a new link")]
    NotSent,
    /// The call exceeds the maximum frame length and did not leave this process.
    #[error(
        "the call has {actual_bytes} bytes, more than the limit of {limit_bytes}: make it smaller"
    )]
    TooLarge {
        /// Length of the call in bytes.
        actual_bytes: usize,
        /// Maximum length of a message in bytes.
        limit_bytes: usize,
    },
    /// The call may have reached the peer and may have run.
    #[error("the call got no reply and may have run: query the status of its request")]
    Unknown,
}

impl CallError {
    /// Reports whether the call certainly did not run.
    pub fn is_not_run(self) -> bool {
        self != Self::Unknown
    }
}
