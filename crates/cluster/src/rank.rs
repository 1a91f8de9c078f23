//! Rendezvous hashing with identical results in every process.
//!
//! Only basic IEEE 754 operations are used. The logarithm of a system's mathematical library may
//! differ in its last digit between two hosts, so two processes could rank candidates differently.

/// Number of terms of the series that computes the logarithm.
const LOGARITHM_TERMS: u32 = 12;

/// Hashes a name for use with `rank`.
pub(crate) fn hash(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Returns the rank of a candidate for a subject.
///
/// The candidate with the highest rank is chosen. Each candidate is chosen for a share of subjects
/// proportional to its weight.
pub(crate) fn rank(subject: u64, candidate: u64, weight: u32) -> f64 {
    let mixed = mix(subject ^ mix(candidate));
    let numerator = (mixed >> 11) as f64 + 0.5;
    f64::from(weight) / minus_ln(numerator / (1_u64 << 53) as f64)
}

/// Mixes all bits with the finalizer of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns `-ln(value)` for a normal number between 0 and 1.
fn minus_ln(value: f64) -> f64 {
    let bits = value.to_bits();
    let exponent = (bits >> 52) as i32 - 1_023;
    let mantissa = f64::from_bits((bits & ((1 << 52) - 1)) | (1_023 << 52));
    let ratio = (mantissa - 1.0) / (mantissa + 1.0);
    let square = ratio * ratio;
    let mut sum = 0.0;
    for term in (0..LOGARITHM_TERMS).rev() {
        sum = sum * square + 1.0 / f64::from(2 * term + 1);
    }
    -(f64::from(exponent) * std::f64::consts::LN_2 + 2.0 * ratio * sum)
}
