//! A member that this witness suspects.

use std::time::Duration;

use cluster::Suspicion;
use ids::Incarnation;
use ids::VmId;

/// A member that this witness suspects, and whose incarnation it never renews again.
#[derive(Clone, Debug)]
pub(crate) struct SuspectedMember {
    /// Incarnation of the member.
    pub(crate) incarnation: Incarnation,
    /// Time of the last renewal.
    pub(crate) last_renewal: Duration,
}

impl SuspectedMember {
    /// Returns the suspicion that the witness appends to the log.
    pub(crate) fn suspicion(&self, now: Duration, vm: VmId) -> Suspicion {
        let ago = now.saturating_sub(self.last_renewal);
        Suspicion {
            incarnation: self.incarnation,
            last_renewed_ago_ms: u64::try_from(ago.as_millis()).unwrap_or(u64::MAX),
            vm,
        }
    }
}
