//! What a witness knows of one member.

use crate::MonitoredMember;
use crate::SuspectedMember;

/// What a witness knows of one life of a member.
#[derive(Clone, Debug)]
pub(crate) enum WatchedMember {
    /// The witness answers the member.
    Monitored(MonitoredMember),
    /// The witness has stopped answering the member for good.
    Suspected(SuspectedMember),
}
