//! The log as far as this process has read it.

use std::time::Duration;

use cluster::Fleet;
use cluster::Outcome;
use cluster::SnapshotReader;
use ids::Generation;
use ids::Offset;
use ids::first_offset;
use ids::generation_of;

use crate::Action;
use crate::Decision;
use crate::times::LOG_SILENCE_TIMEOUT;
use crate::times::LONG_OUTAGE;
use crate::times::UNINFORMED_AFTER;

/// The log as far as this process has read it, and the times of the reads.
#[derive(Debug, Default)]
pub(crate) struct LogState {
    /// Time that one read waits for new records.
    read_wait: Duration,
    is_caught_up: bool,
    /// Time at which the last long outage ended.
    outage_ended_at: Option<Duration>,
    is_failing: bool,
    fleet: Fleet,
    informed_at: Option<Duration>,
    read_at: Option<Duration>,
    /// Time at which the current generation of the log was entered, while the state with which it begins is not known.
    restored_at: Option<Duration>,
    snapshot_search: Option<SnapshotSearch>,
}

/// The search for a snapshot, after the log dropped records that had not been read yet.
#[derive(Debug)]
struct SnapshotSearch {
    first: Offset,
    next: Offset,
    reader: SnapshotReader,
    /// Records from `first` on. Those that follow the snapshot are applied once it is found.
    records: Vec<(Offset, String)>,
}

impl LogState {
    pub(crate) fn new(read_wait: Duration) -> Self {
        Self {
            read_wait,
            ..Self::default()
        }
    }

    /// Applies the record at `offset`. Returns the outcome, or `None` if the record is not the next one or the search for a
    /// snapshot continues.
    pub(crate) fn apply(
        &mut self,
        offset: Offset,
        text: &str,
        actions: &mut Vec<Action>,
    ) -> Option<Outcome> {
        if offset != self.next_offset() {
            return None;
        }
        if self.snapshot_search.is_some() {
            return self.search_snapshot(offset, text, actions);
        }
        let outcome = self.fleet.apply(offset, text.as_bytes());
        if let Outcome::Rejected(reason) = &outcome {
            actions.push(skipped(offset, reason.clone()));
        }
        Some(outcome)
    }

    fn search_snapshot(
        &mut self,
        offset: Offset,
        text: &str,
        actions: &mut Vec<Action>,
    ) -> Option<Outcome> {
        let search = self.snapshot_search.as_mut()?;
        search.next = offset + 1;
        search.records.push((offset, text.to_owned()));
        let fleet = match search.reader.add(offset, text.as_bytes()) {
            Ok(found) => found?,
            Err(error) => {
                actions.push(skipped(offset, error.to_string()));
                return None;
            }
        };
        if fleet.next_offset() < search.first || fleet.next_offset() <= self.fleet.next_offset() {
            return None;
        }
        let search = self.snapshot_search.take()?;
        self.restored_at = None;
        self.fleet = fleet;
        for (offset, text) in search.records {
            if offset >= self.fleet.next_offset() {
                self.apply(offset, &text, actions);
            }
        }
        Some(Outcome::Applied(Vec::new()))
    }

    /// Records that the log keeps only records from `first` on, and starts the search for a snapshot.
    pub(crate) fn records_expired(&mut self, first: Offset) {
        self.restored_at = None;
        self.search_snapshot_from(first);
    }

    /// Starts to follow a later generation of the log, which begins with a snapshot. Returns whether it is later.
    pub(crate) fn enter_generation(&mut self, now: Duration, generation: Generation) -> bool {
        if generation <= generation_of(self.next_offset()) {
            return false;
        }
        self.is_failing = false;
        self.restored_at = Some(now);
        self.search_snapshot_from(first_offset(generation));
        true
    }

    /// Reports whether this process has ever read the log, or a peer's copy of it, to its end.
    pub(crate) fn was_ever_caught_up(&self) -> bool {
        self.informed_at.is_some()
    }

    /// Returns the generation whose first state is not known yet, and the time since which it has been awaited.
    pub(crate) fn awaited_generation(&self) -> Option<(Generation, Duration)> {
        let generation = generation_of(self.next_offset());
        self.restored_at.map(|since| (generation, since))
    }

    fn search_snapshot_from(&mut self, first: Offset) {
        self.is_caught_up = false;
        self.snapshot_search = Some(SnapshotSearch {
            first,
            next: first,
            reader: SnapshotReader::default(),
            records: Vec::new(),
        });
    }

    /// Records that the log answered. `next` is the offset of its next append, if the answer states
    /// it.
    pub(crate) fn read_succeeded(&mut self, now: Duration, next: Option<Offset>) {
        let is_long = |read| now > read + LONG_OUTAGE;
        if self.read_at.is_some_and(is_long) {
            self.outage_ended_at = Some(now);
        }
        self.is_failing = false;
        self.read_at = Some(now);
        self.is_caught_up = self.has_read_until(next.unwrap_or_default());
        if self.is_caught_up {
            self.informed_at = Some(now);
        }
    }

    /// Returns the end of the last outage that was long enough for snapshots to expire.
    pub(crate) fn outage_ended_at(&self) -> Option<Duration> {
        self.outage_ended_at
    }

    /// Records that a peer answered a pull. `next` is the offset of the next record that the peer reads.
    ///
    /// A process that has read less than the peer may hold a configuration of long ago.
    pub(crate) fn pull_succeeded(&mut self, now: Duration, next: Offset) {
        if self.has_read_until(next) {
            self.informed_at = Some(now);
        }
    }

    /// Reports whether the folded log includes all records before `next`.
    fn has_read_until(&self, next: Offset) -> bool {
        self.snapshot_search.is_none() && self.next_offset() >= next
    }

    /// Records that the log could not be read.
    pub(crate) fn read_failed(&mut self) {
        self.is_failing = true;
    }

    /// Reports whether the last read of the log failed.
    pub(crate) fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// Reports whether the log answers and all of it has been read.
    pub(crate) fn is_healthy(&self, now: Duration) -> bool {
        let is_recent = |read| now <= read + self.read_wait + LOG_SILENCE_TIMEOUT;
        self.is_caught_up && !self.is_failing && self.read_at.is_some_and(is_recent)
    }

    /// Reports whether the log can be read and the first state of its generation is not known yet.
    pub(crate) fn is_reading_first_state(&self) -> bool {
        self.restored_at.is_some() && !self.is_failing
    }

    /// Reports whether all of the log, or a peer's copy of it, was read recently.
    pub(crate) fn is_informed(&self, now: Duration) -> bool {
        let is_recent = |informed| now <= informed + UNINFORMED_AFTER;
        self.informed_at.is_some_and(is_recent)
    }

    /// Reports whether all of the log itself, and not a copy, was read recently.
    pub(crate) fn is_recently_read(&self, now: Duration) -> bool {
        let is_recent = |read| now <= read + UNINFORMED_AFTER;
        self.is_caught_up && self.read_at.is_some_and(is_recent)
    }

    /// Returns the offset of the next record to read.
    pub(crate) fn next_offset(&self) -> Offset {
        let search = self.snapshot_search.as_ref();
        search.map_or_else(|| self.fleet.next_offset().max(1), |search| search.next)
    }

    /// Returns the folded log.
    pub(crate) fn fleet(&self) -> &Fleet {
        &self.fleet
    }
}

fn skipped(offset: Offset, reason: String) -> Action {
    Action::LogDecision(Decision::RecordSkipped { offset, reason })
}
