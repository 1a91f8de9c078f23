//! Ids of recent records, for the detection of repeated appends.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use ids::Offset;
use serde::Deserialize;
use serde::Serialize;

use crate::rank::hash;

/// Number of offsets for which the id of a record is kept to detect repeated appends.
///
/// A writer that has not read its record back must not repeat the append once it has read this many records after its
/// first attempt. It then appends the record under a new id.
pub const DEDUPLICATION_WINDOW: u64 = 16_384;

/// Hashes of the ids of recent records, oldest first.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct RecentRecords {
    hashes: BTreeSet<u64>,
    order: VecDeque<(Offset, u64)>,
}

/// Hashes of the ids of records at consecutive offsets: the first offset and the hashes as hexadecimal text.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct HashRun(Offset, String);

/// Number of hexadecimal digits of one hash.
const HASH_DIGITS: usize = 16;

impl RecentRecords {
    /// Reports whether the record at `offset` was applied before under the same id.
    pub(crate) fn is_repeated(&mut self, offset: Offset, id: &str) -> bool {
        self.evict_before(offset.saturating_sub(DEDUPLICATION_WINDOW));
        self.hashes.contains(&hash(id))
    }

    /// Adds the id of a record that is not repeated.
    pub(crate) fn insert(&mut self, offset: Offset, id: &str) {
        let hash = hash(id);
        self.hashes.insert(hash);
        self.order.push_back((offset, hash));
    }

    fn evict_before(&mut self, offset: Offset) {
        while let Some(&(oldest, hash)) = self.order.front() {
            if oldest >= offset {
                return;
            }
            self.order.pop_front();
            self.hashes.remove(&hash);
        }
    }

    /// Returns the records with `shift` added to their offsets.
    pub(crate) fn shifted(&self, shift: Offset) -> Self {
        let order = self.order.iter();
        Self {
            hashes: self.hashes.clone(),
            order: order
                .map(|&(offset, hash)| (offset + shift, hash))
                .collect(),
        }
    }

    pub(crate) fn to_runs(&self) -> Vec<HashRun> {
        let mut runs: Vec<HashRun> = Vec::new();
        let mut expected = 0;
        for &(offset, hash) in &self.order {
            let digits = format!("{hash:016x}");
            match runs.last_mut() {
                Some(run) if offset == expected => run.1.push_str(&digits),
                _ => runs.push(HashRun(offset, digits)),
            }
            expected = offset + 1;
        }
        runs
    }

    /// Restores the records from runs. Returns `None` if a run is damaged.
    pub(crate) fn from_runs(runs: &[HashRun]) -> Option<Self> {
        let mut records = Self::default();
        for HashRun(first, digits) in runs {
            let mut offset = *first;
            let mut rest = digits.as_str();
            while !rest.is_empty() {
                let hash = u64::from_str_radix(rest.get(..HASH_DIGITS)?, 16).ok()?;
                records.hashes.insert(hash);
                records.order.push_back((offset, hash));
                rest = &rest[HASH_DIGITS..];
                offset += 1;
            }
        }
        Some(records)
    }
}
