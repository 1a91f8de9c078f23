//! Errors of opening a link.

use std::io;
use std::time::Duration;

use thiserror::Error;

/// Reason that a link did not open.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The connection failed.
    #[error("the connection to the peer failed ({0}): check its address and that it runs")]
    Io(#[from] io::Error),
    /// The peer sent an invalid handshake.
    #[error("the peer sent no valid handshake: check that the address is a peer address")]
    Malformed,
    /// The handshake took too long.
    #[error("the peer did not finish its handshake within {0:?}: check that it runs")]
    Timeout(Duration),
    /// The peer did not prove that it knows the secret.
    #[error("the peer did not prove its identity: give all VMs the same peer secret")]
    Unauthenticated,
    /// The peer uses a different protocol version.
    #[error("the peer uses protocol version {theirs}, not {ours}: run the same release on all VMs")]
    VersionMismatch {
        /// Protocol version of this process.
        ours: u32,
        /// Protocol version of the peer.
        theirs: u32,
    },
}
