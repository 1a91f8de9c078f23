//! Error of a control request to an upstream.

use std::time::Duration;

use thiserror::Error;

/// Error of a control request to an upstream.
#[derive(Debug, Error)]
pub enum ControlError {
    /// The connection broke, and the upstream may have executed the request.
    #[error("the connection to the upstream broke ({0}): repeat the request")]
    ConnectionLost(String),
    /// The upstream's answer does not conform to its interface.
    #[error("the upstream gave no valid answer ({0}): check its version")]
    Invalid(String),
    /// The request was not sent.
    #[error("the upstream cannot be reached ({0}): check that it runs")]
    NotSent(String),
    /// The upstream has received a newer request of the same holder, and ignores this one.
    #[error("the upstream has received a newer request: send one with a higher sequence number")]
    Stale,
    /// The upstream did not answer in time, and may have executed the request.
    #[error("the upstream did not answer within {0:?}: repeat the request")]
    TimedOut(Duration),
}
