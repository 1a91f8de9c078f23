//! Secret shared by all peers.

use std::fmt::Debug;
use std::fmt::Formatter;

use crate::SecretError;

/// Minimum length of the secret in bytes.
const MIN_SECRET_BYTES: usize = 32;

/// Context for deriving the key that authenticates handshakes.
const HANDSHAKE_CONTEXT: &str = "skylarkrudder 2026 peer handshake";

/// Context for deriving the key that authenticates datagrams.
const DATAGRAM_CONTEXT: &str = "skylarkrudder 2026 peer datagram";

/// Keys derived from the shared secret. The `Debug` output hides them.
#[derive(Clone)]
pub struct Secret {
    datagram: [u8; 32],
    handshake: [u8; 32],
}

impl Secret {
    /// Derives the keys from the shared secret.
    ///
    /// # Errors
    ///
    /// Returns [`SecretError`] if the secret is shorter than 32 bytes.
    pub fn new(bytes: &[u8]) -> Result<Self, SecretError> {
        if bytes.len() < MIN_SECRET_BYTES {
            return Err(SecretError {
                actual_bytes: bytes.len(),
                minimum_bytes: MIN_SECRET_BYTES,
            });
        }
        Ok(Self {
            datagram: blake3::derive_key(DATAGRAM_CONTEXT, bytes),
            handshake: blake3::derive_key(HANDSHAKE_CONTEXT, bytes),
        })
    }

    pub(crate) fn datagram_key(&self) -> &[u8; 32] {
        &self.datagram
    }

    pub(crate) fn handshake_key(&self) -> &[u8; 32] {
        &self.handshake
    }
}

impl Debug for Secret {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}
