//! Member that a roll-out replaces.

use std::time::Duration;

/// What a decider knows about a member with a version other than the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OldMember {
    /// Whether its last report says that nothing runs or waits there and that it has read `Promoted`.
    pub is_idle: bool,
    /// Whether it owns a unit of the service.
    pub owns_units: bool,
    /// Age of its last report, or the time since the decider began to listen if none has come.
    pub report_age: Duration,
}
