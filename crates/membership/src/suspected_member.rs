//! A member that its witness has stopped answering.

use std::time::Duration;

use cluster::Suspicion;
use ids::Incarnation;
use ids::VmId;

/// A member that its witness has stopped answering for good.
#[derive(Clone, Debug)]
pub(crate) struct SuspectedMember {
    /// Life of the member.
    pub(crate) incarnation: Incarnation,
    /// Time of the last renewal.
    pub(crate) last_renewal: Duration,
}

impl SuspectedMember {
    /// Returns what the witness states in the log.
    pub(crate) fn suspicion(&self, now: Duration, vm: VmId) -> Suspicion {
        let ago = now.saturating_sub(self.last_renewal);
        Suspicion {
            incarnation: self.incarnation,
            last_renewed_ago_ms: u64::try_from(ago.as_millis()).unwrap_or(u64::MAX),
            vm,
        }
    }
}
