//! Running requests that may have made a call.

use std::time::Duration;

use ids::RequestId;

/// Maximum difference between the deadlines of a call and its parent.
///
/// They differ because each states the remaining time in whole milliseconds and takes its own time to
/// arrive.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(50);

/// Separates the id of a parent from what the upstream appends to it for each call.
const ID_SEPARATOR: char = '.';

/// Running request that may have made a call, which makes it the parent of the call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunningParent {
    /// Deadline that was stated to the upstream, as time since the start of the process.
    pub deadline: Duration,
    /// Id of the request.
    pub id: RequestId,
    /// Whether the request may run again.
    pub is_repeatable: bool,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u32,
    /// Name of the request's route, or `None` if it is not known.
    pub route: Option<String>,
}

impl RunningParent {
    /// Returns the parent of a call whose id is that of the parent with a suffix, or `None` if there is none.
    ///
    /// A call may have a shorter time limit than its parent, so that only such an id identifies it.
    pub fn find_by_id<'a>(
        running: impl IntoIterator<Item = &'a Self>,
        call_id: &str,
    ) -> Option<Self> {
        let (parent_id, _) = call_id.rsplit_once(ID_SEPARATOR)?;
        let mut running = running.into_iter();
        running.find(|parent| parent.id == parent_id).cloned()
    }

    /// Returns the parent of a call with the given deadline, or `None` if no deadline matches.
    ///
    /// If the deadlines of several requests match, the most urgent one is the parent, and among those of
    /// equal rank one that may not run again. Its route is then left out unless all of them have the same
    /// route.
    pub fn find_by_deadline<'a>(
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
