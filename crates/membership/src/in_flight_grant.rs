//! A grant that the upstream has not answered yet.

use std::time::Duration;

use crate::Grant;

/// A grant that the upstream has not answered yet.
#[derive(Debug)]
pub(crate) struct InFlightGrant {
    /// The grant as sent.
    pub(crate) grant: Grant,
    /// End of the lease that the expiry was computed from.
    pub(crate) lease_end: Duration,
    /// Time at which the grant was sent.
    pub(crate) sent_at: Duration,
}
