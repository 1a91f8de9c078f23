//! Time spans that every process must agree on.

use std::time::Duration;

/// Time that a lease lasts after its renewal was asked for, on the clock of the member, unless its `Join` states another.
pub const LEASE: Duration = Duration::from_secs(2);

/// [`LEASE`] in milliseconds.
pub(crate) const LEASE_MS: u64 = LEASE.as_millis() as u64;

/// Added to each lease that an heir waits out.
///
/// It covers two clocks that differ by up to 1.2% over one lease: the member's clock may be slow
/// and the heir's fast.
pub const DRIFT_MARGIN: Duration = Duration::from_millis(50);

/// Returns how long one whole lease keeps an heir waiting, in milliseconds.
pub(crate) fn full_wait_ms(lease_ms: u64) -> u64 {
    let drift_ms = DRIFT_MARGIN.as_millis() as u64 * lease_ms.div_ceil(LEASE_MS);
    lease_ms + drift_ms
}
