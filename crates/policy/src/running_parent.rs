//! Running requests that may have made a call.

use std::time::Duration;

/// Maximum difference between the deadlines of a call and its parent.
///
/// They differ because each states the remaining time in whole milliseconds and takes its own time to
/// arrive.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(50);

/// Running request that may have made a call, which makes it the parent of the call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunningParent {
    /// Deadline that was stated to the upstream, as time since the start of the process.
    pub deadline: Duration,
    /// Whether the request may run again.
    pub is_repeatable: bool,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u32,
    /// Name of the request's route, or `None` if it is not known.
    pub route: Option<String>,
}

impl RunningParent {
    /// Returns the parent of a call with the given deadline, or `None` if no deadline matches.
    ///
    /// If the deadlines of several requests match, the most urgent one is the parent, and among those of
    /// equal rank one that may not run again. Its route is then left out unless all of them have the same
    /// route.
    pub fn find<'a>(
        running: impl IntoIterator<Item = &'a Self>,
        call_deadline: Duration,
    ) -> Option<Self> {
        let matching: Vec<_> = running
            .into_iter()
            .filter(|parent| parent.deadline.abs_diff(call_deadline) <= DEADLINE_TOLERANCE)
            .collect();
        let most_urgent = matching
            .iter()
            .min_by_key(|parent| (parent.rank, parent.is_repeatable))?;
        let mut parent = Self::clone(most_urgent);
        if matching.iter().any(|other| other.route != parent.route) {
            parent.route = None;
        }
        Some(parent)
    }
}
