//! What this process has read of the log.

use std::time::Duration;

use cluster::Fleet;
use cluster::Outcome;
use cluster::SnapshotReader;
use ids::Offset;

use crate::Action;
use crate::Decision;
use crate::times::LOG_SILENCE_TIMEOUT;
use crate::times::LONG_OUTAGE;
use crate::times::UNINFORMED_AFTER;

/// What this process has read of the log, and when.
#[derive(Debug, Default)]
pub(crate) struct LogReader {
    /// Time that one read waits for new records.
    wait: Duration,
    caught_up: bool,
    /// Time at which the last long outage ended.
    ended_outage: Option<Duration>,
    failing: bool,
    fleet: Fleet,
    informed: Option<Duration>,
    read: Option<Duration>,
    search: Option<Search>,
}

/// The search for a snapshot, after the log dropped records that were not read yet.
#[derive(Debug)]
struct Search {
    first: Offset,
    next: Offset,
    reader: SnapshotReader,
    /// Records from `first` on, of which the last ones come behind the snapshot.
    records: Vec<(Offset, String)>,
}

impl LogReader {
    pub(crate) fn new(wait: Duration) -> Self {
        Self {
            wait,
            ..Self::default()
        }
    }

    /// Applies the record at `offset`. Returns `None` if it is not the next one, else whether it
    /// took effect.
    pub(crate) fn apply(
        &mut self,
        offset: Offset,
        text: &str,
        actions: &mut Vec<Action>,
    ) -> Option<bool> {
        if offset != self.next() {
            return None;
        }
        if self.search.is_some() {
            return self.search(offset, text, actions);
        }
        match self.fleet.apply(offset, text.as_bytes()) {
            Outcome::Applied(_) => Some(true),
            Outcome::Repeated => Some(false),
            Outcome::Void(reason) => {
                actions.push(skipped(offset, reason));
                Some(false)
            }
        }
    }

    fn search(&mut self, offset: Offset, text: &str, actions: &mut Vec<Action>) -> Option<bool> {
        let search = self.search.as_mut()?;
        search.next = offset + 1;
        search.records.push((offset, text.to_owned()));
        let fleet = match search.reader.add(text.as_bytes()) {
            Ok(found) => found?,
            Err(error) => {
                actions.push(skipped(offset, error.to_string()));
                return None;
            }
        };
        if fleet.next() < search.first || fleet.next() <= self.fleet.next() {
            return None;
        }
        let search = self.search.take()?;
        self.fleet = fleet;
        for (offset, text) in search.records {
            if offset >= self.fleet.next() {
                self.apply(offset, &text, actions);
            }
        }
        Some(true)
    }

    /// Notes that the log keeps records from `first` on only, and looks for a snapshot in them.
    pub(crate) fn expired(&mut self, first: Offset) {
        self.caught_up = false;
        self.search = Some(Search {
            first,
            next: first,
            reader: SnapshotReader::default(),
            records: Vec::new(),
        });
    }

    /// Notes that the log answered, and `next` is the offset of its next append, if it told.
    pub(crate) fn succeeded(&mut self, now: Duration, next: Option<Offset>) {
        let is_long = |read| now > read + LONG_OUTAGE;
        if self.read.is_some_and(is_long) {
            self.ended_outage = Some(now);
        }
        self.failing = false;
        self.read = Some(now);
        self.caught_up = self.search.is_none() && next.is_none_or(|next| self.next() >= next);
        if self.caught_up {
            self.informed = Some(now);
        }
    }

    /// Returns when the last outage ended that snapshots may not have outlasted.
    pub(crate) fn ended_outage(&self) -> Option<Duration> {
        self.ended_outage
    }

    /// Notes that a peer answered a pull.
    pub(crate) fn pulled(&mut self, now: Duration) {
        self.informed = Some(now);
    }

    /// Notes that the log could not be read.
    pub(crate) fn failed(&mut self) {
        self.failing = true;
    }

    /// Tells whether the log answers, and all of it has been read.
    pub(crate) fn is_healthy(&self, now: Duration) -> bool {
        let is_recent = |read| now <= read + self.wait + LOG_SILENCE_TIMEOUT;
        self.caught_up && !self.failing && self.read.is_some_and(is_recent)
    }

    /// Tells whether all of the log, or a peer's copy, was read recently.
    pub(crate) fn is_informed(&self, now: Duration) -> bool {
        let is_recent = |informed| now <= informed + UNINFORMED_AFTER;
        self.informed.is_some_and(is_recent)
    }

    /// Tells whether all of the log itself was read recently.
    pub(crate) fn is_first_hand(&self, now: Duration) -> bool {
        let is_recent = |read| now <= read + UNINFORMED_AFTER;
        self.caught_up && self.read.is_some_and(is_recent)
    }

    /// Returns the offset of the next record to read.
    pub(crate) fn next(&self) -> Offset {
        let search = self.search.as_ref();
        search.map_or_else(|| self.fleet.next().max(1), |search| search.next)
    }

    /// Returns the folded log.
    pub(crate) fn fleet(&self) -> &Fleet {
        &self.fleet
    }
}

fn skipped(offset: Offset, reason: String) -> Action {
    Action::Decide(Decision::RecordSkipped { offset, reason })
}
