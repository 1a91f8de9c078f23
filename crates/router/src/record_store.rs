//! Recent log records of this process, stored for peers that cannot read the log.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use ids::Offset;
use ids::first_offset;
use ids::generation_of;

/// Maximum total size of the stored records, in bytes.
const MAX_STORED_BYTES: usize = 4 << 20;

/// Stores the newest records of the log.
#[derive(Debug, Default)]
pub(crate) struct RecordStore {
    stored: Mutex<StoredRecords>,
}

#[derive(Debug, Default)]
struct StoredRecords {
    bytes: usize,
    records: VecDeque<(Offset, String)>,
}

impl RecordStore {
    /// Stores a record unless it is not newer than the stored ones. A gap before `offset` discards all stored records.
    pub(crate) fn push(&self, offset: Offset, body: &str) {
        let mut stored = self.lock();
        let newest = stored.records.back().map(|(newest, _)| *newest);
        if newest.is_some_and(|newest| newest >= offset) {
            return;
        }
        if newest.is_some_and(|newest| newest + 1 != offset) {
            stored.clear();
        }
        stored.bytes += body.len();
        stored.records.push_back((offset, body.to_owned()));
        stored.trim();
    }

    /// Returns up to `max` records from offset `from` on, or none if `from` is no longer stored. A reader of an earlier
    /// generation gets all records of this one.
    pub(crate) fn read(&self, from: Offset, max: usize) -> Vec<(Offset, String)> {
        let stored = self.lock();
        let Some((first, _)) = stored.records.front() else {
            return Vec::new();
        };
        let generation = generation_of(*first);
        let is_whole = *first == first_offset(generation);
        let from = match is_whole && generation_of(from) < generation {
            true => *first,
            false => from,
        };
        let Some(skipped) = from.checked_sub(*first) else {
            return Vec::new();
        };
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        stored
            .records
            .iter()
            .skip(skipped)
            .take(max)
            .cloned()
            .collect()
    }

    /// Returns the offset of the oldest stored record.
    pub(crate) fn first_offset(&self) -> Option<Offset> {
        self.lock().records.front().map(|(first, _)| *first)
    }

    fn lock(&self) -> MutexGuard<'_, StoredRecords> {
        self.stored.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StoredRecords {
    fn clear(&mut self) {
        self.bytes = 0;
        self.records.clear();
    }

    fn trim(&mut self) {
        while self.bytes > MAX_STORED_BYTES
            && let Some((_, body)) = self.records.pop_front()
        {
            self.bytes -= body.len();
        }
    }
}
