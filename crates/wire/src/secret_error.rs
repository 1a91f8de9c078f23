//! Error of a secret that is too short.

use thiserror::Error;

/// The secret is shorter than the minimum length.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the peer secret has {actual_bytes} bytes: use at least {minimum_bytes} random bytes")]
pub struct SecretError {
    pub(crate) actual_bytes: usize,
    pub(crate) minimum_bytes: usize,
}
