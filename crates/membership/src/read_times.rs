//! Times since when a change that was read may have been in force.

use std::time::Duration;

/// Longest time after a change by which a read that waits for changes returns it, with the pause between two such reads.
const MAX_NOTICE_DELAY: Duration = Duration::from_secs(2);

/// Tracks when a source of changes was last read in full, and thereby since when the changes of a later read may have been
/// in force.
///
/// A read that waited for changes returns soon after the first. Any other read may return changes as old as the last
/// complete read, since an earlier one that failed may have missed them.
#[derive(Debug, Default)]
pub(crate) struct ReadTimes {
    /// Time since which the changes of the latest read may have been in force, `None` if they may be of any age.
    changes_since: Option<Duration>,
    /// Time of the latest complete read, `None` before the first.
    completed: Option<Duration>,
}

impl ReadTimes {
    /// Records a read. `has_waited` tells whether the source returned it because of a change.
    pub(crate) fn record(&mut self, now: Duration, has_waited: bool) {
        let notice = match has_waited {
            true => now.saturating_sub(MAX_NOTICE_DELAY),
            false => Duration::ZERO,
        };
        self.changes_since = self.completed.map(|read| read.max(notice));
    }

    /// Records that the source was read to its end.
    pub(crate) fn complete(&mut self, now: Duration) {
        self.completed = Some(now);
    }

    /// Returns the time since which the changes of the latest read may have been in force, or `None` if they may be of any age.
    pub(crate) fn changes_since(&self) -> Option<Duration> {
        self.changes_since
    }

    /// Returns the time of the latest complete read, or `None` before the first.
    pub(crate) fn completed(&self) -> Option<Duration> {
        self.completed
    }
}
