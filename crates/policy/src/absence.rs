//! What the absence of a request from the memory of its home shows.

use std::time::Duration;

use crate::Outcome;

/// Returns the outcome of a request that its home does not know and has barred, if it was sent `sent_ago` ago and the home
/// forgets requests no sooner than `remembered_for` after their end.
///
/// The request never ran if it could not have been forgotten. `sent_ago` counts until the answer of the home arrives, so that
/// delays of the query and the answer count as well.
pub fn absent_outcome(sent_ago: Duration, remembered_for: Duration) -> Outcome {
    match sent_ago < remembered_for {
        true => Outcome::NotRun,
        false => Outcome::Unknown,
    }
}
