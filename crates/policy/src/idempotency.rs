//! Idempotency key and content of one request.

use crate::Fingerprint;
use crate::IdempotencyKey;

/// Identifies a request across retries, so that it runs at most once however often it is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Idempotency {
    /// Fingerprint of the content.
    pub fingerprint: Fingerprint,
    /// Key that the caller chose.
    pub key: IdempotencyKey,
}
