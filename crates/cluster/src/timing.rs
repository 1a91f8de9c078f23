//! Durations that every process must agree on.

use std::time::Duration;

/// Default duration of a lease, counted on the member's clock from its request for the renewal.
///
/// A `Join` may state another duration.
pub const LEASE: Duration = Duration::from_secs(2);

/// [`LEASE`] in milliseconds.
pub(crate) const LEASE_MS: u64 = LEASE.as_millis() as u64;

/// Margin that is added to each lease that the next owner of a unit waits out.
///
/// It covers clocks that differ in speed by up to 1.2% over one lease: the member's clock may be slow while the next
/// owner's clock is fast.
pub const DRIFT_MARGIN: Duration = Duration::from_millis(50);

/// Returns the time that a next owner waits for one whole lease, with the margin for drift, in milliseconds.
pub(crate) fn full_wait_ms(lease_ms: u64) -> u64 {
    let drift_ms = DRIFT_MARGIN.as_millis() as u64 * lease_ms.div_ceil(LEASE_MS);
    lease_ms + drift_ms
}
