//! The state of one member that this process watches as a witness.

use crate::MonitoredMember;
use crate::SuspectedMember;

/// The state of one incarnation of a member that this process watches as a witness.
#[derive(Clone, Debug)]
pub(crate) enum WatchedMember {
    /// The witness renews the member's lease.
    Monitored(MonitoredMember),
    /// The witness never renews the member's lease again.
    Suspected(SuspectedMember),
}
