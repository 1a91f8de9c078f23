//! The last report of a home.

use std::time::Duration;

use ids::Incarnation;

/// The last report of a home to this decider.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemberReport {
    pub(crate) has_read_promoted: bool,
    pub(crate) incarnation: Incarnation,
    /// Whether nothing waits for the upstream or runs on it.
    pub(crate) is_idle: bool,
    pub(crate) received_at: Duration,
    pub(crate) sequence: u64,
}
