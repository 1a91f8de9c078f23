//! Message authentication codes.

use subtle::ConstantTimeEq;

/// Length of a message authentication code (MAC) in bytes.
pub(crate) const MAC_BYTES: usize = 16;

/// Computes the MAC of the concatenated `parts`. All parts but the last must have a fixed length, so
/// that different parts never yield the same input.
pub(crate) fn compute_mac(key: &[u8; 32], parts: &[&[u8]]) -> [u8; MAC_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for part in parts {
        hasher.update(part);
    }
    let mut mac = [0; MAC_BYTES];
    hasher.finalize_xof().fill(&mut mac);
    mac
}

/// Compares two codes in constant time.
pub(crate) fn is_equal(left: &[u8], right: &[u8]) -> bool {
    left.ct_eq(right).into()
}
