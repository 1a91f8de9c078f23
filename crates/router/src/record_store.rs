//! Records that this process has read, kept for peers that cannot read the log.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use ids::Offset;

/// Size of the records that are kept, in bytes.
const KEPT_BYTES: usize = 4 << 20;

/// The newest records of the log.
#[derive(Debug, Default)]
pub(crate) struct RecordStore {
    kept: Mutex<Kept>,
}

#[derive(Debug, Default)]
struct Kept {
    bytes: usize,
    records: VecDeque<(Offset, String)>,
}

impl RecordStore {
    /// Keeps a record that follows the ones kept before.
    pub(crate) fn push(&self, offset: Offset, body: &str) {
        let mut kept = self.lock();
        let newest = kept.records.back().map(|(newest, _)| *newest);
        if newest.is_some_and(|newest| newest >= offset) {
            return;
        }
        if newest.is_some_and(|newest| newest + 1 != offset) {
            kept.clear();
        }
        kept.bytes += body.len();
        kept.records.push_back((offset, body.to_owned()));
        kept.trim();
    }

    /// Returns up to `max` records from `from` on, none when `from` is no longer kept.
    pub(crate) fn read(&self, from: Offset, max: usize) -> Vec<(Offset, String)> {
        let kept = self.lock();
        let Some((first, _)) = kept.records.front() else {
            return Vec::new();
        };
        let Some(skipped) = from.checked_sub(*first) else {
            return Vec::new();
        };
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        kept.records
            .iter()
            .skip(skipped)
            .take(max)
            .cloned()
            .collect()
    }

    /// Returns the oldest offset that is kept.
    pub(crate) fn first_offset(&self) -> Option<Offset> {
        self.lock().records.front().map(|(first, _)| *first)
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Kept {
    fn clear(&mut self) {
        self.bytes = 0;
        self.records.clear();
    }

    fn trim(&mut self) {
        while self.bytes > KEPT_BYTES
            && let Some((_, body)) = self.records.pop_front()
        {
            self.bytes -= body.len();
        }
    }
}
