//! A grant that has not been answered.

use std::time::Duration;

use crate::Grant;

/// A grant that has not been answered.
#[derive(Debug)]
pub(crate) struct InFlightGrant {
    /// The message.
    pub(crate) grant: Grant,
    /// End of the lease that the expiry was computed from.
    pub(crate) lease_end: Duration,
    /// Time at which it was sent.
    pub(crate) sent: Duration,
}
