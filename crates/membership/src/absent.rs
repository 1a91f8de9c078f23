//! A process that is not a member.

use std::time::Duration;

use crate::Joining;

/// A process that is not a member.
#[derive(Clone, Debug)]
pub(crate) struct Absent {
    /// Earliest time at which the process may join.
    pub(crate) not_before: Duration,
}

impl Absent {
    /// Returns the state after the process has appended its `Join`.
    pub(crate) fn join(self) -> Joining {
        Joining
    }
}
