//! Detection of reads of the log that were lost.

use std::time::Duration;

use ids::Offset;

/// Tells from what else is known of the log that a read which waits for records should have returned some.
///
/// Load pattern: after a service was silent, the reads of all processes may be lost together. Without this each process
/// would find out by the time limit of its own read, many seconds later.
#[derive(Debug, Default)]
pub(crate) struct OverdueReads {
    /// Time since which the log has been known to hold records that this process has not read.
    behind_since: Option<Duration>,
    /// Whether the log has accepted records of this process since the last check, which were not read back then.
    has_appended: bool,
    /// Highest offset of the next record that a peer reads.
    peer_next: Offset,
}

impl OverdueReads {
    /// Records that the log accepted records of this process, of which `pending` are not read back.
    pub(crate) fn record_append(&mut self, pending: usize) {
        self.has_appended = pending > 0;
    }

    /// Records that a peer has read all records before `next`.
    pub(crate) fn record_peer(&mut self, next: Offset) {
        self.peer_next = self.peer_next.max(next);
    }

    /// Reports whether reads have been overdue for `limit`, at most once in that time. `next` is the next record to read,
    /// and `pending` the number of appended records that are not read back.
    pub(crate) fn are_due(
        &mut self,
        now: Duration,
        limit: Duration,
        next: Offset,
        pending: usize,
    ) -> bool {
        self.has_appended &= pending > 0;
        if next >= self.peer_next && !self.has_appended {
            self.behind_since = None;
            return false;
        }
        let since = *self.behind_since.get_or_insert(now);
        if now < since + limit {
            return false;
        }
        self.behind_since = None;
        self.has_appended = false;
        true
    }
}
