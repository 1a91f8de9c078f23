//! Errors of datagrams.

use thiserror::Error;

/// Reason that a datagram is dropped.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum DatagramError {
    /// The datagram cannot be decoded.
    #[error("the datagram cannot be decoded: check which processes send to the peer address")]
    Malformed,
    /// The datagram exceeds the length limit.
    #[error("the datagram is too long: check which processes send to the peer address")]
    Oversized,
    /// The sender did not prove that it knows the secret.
    #[error("the datagram is not authentic: give all VMs the same peer secret")]
    Unauthenticated,
    /// The datagram has an unsupported version.
    #[error("the datagram has an unsupported version: run the same release on all VMs")]
    UnsupportedVersion,
}
