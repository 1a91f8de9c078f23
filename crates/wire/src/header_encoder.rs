//! Compression of repeated headers.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::Header;

/// Number of table entries in each direction of a link.
pub(crate) const TABLE_CAPACITY: u32 = 128;

/// Maximum length of the name and value of a table entry in bytes.
const MAX_ENTRY_BYTES: usize = 256;

/// Number of distinct entries whose occurrences are counted before the counts are reset.
const MAX_SEEN_ENTRIES: usize = 512;

type Entry = (String, Bytes);

/// Replaces repeated headers with their index in a table that both ends keep.
///
/// The first time, a header is sent unchanged. The second time, it is sent with its new index, and
/// from then on only the index is sent. Names that repeat with different values are treated in the
/// same way, as entries with an empty value.
#[derive(Debug, Default)]
pub(crate) struct HeaderEncoder {
    next_slot: u32,
    indexes: BTreeMap<Entry, u32>,
    seen_counts: BTreeMap<Entry, u32>,
    entries: BTreeMap<u32, Entry>,
}

impl HeaderEncoder {
    /// Compresses headers in the order in which they are sent.
    pub(crate) fn encode(&mut self, headers: &mut [Header]) {
        for header in headers {
            self.compress(header);
        }
    }

    fn compress(&mut self, header: &mut Header) {
        if header.name.len() + header.value.len() > MAX_ENTRY_BYTES {
            return;
        }
        let entry = (header.name.clone(), header.value.clone());
        if let Some(index) = self.indexes.get(&entry) {
            header.table_index = *index;
            header.name.clear();
            header.value.clear();
            return;
        }
        if !self.record_occurrence(&entry) {
            self.compress_name(header);
            return;
        }
        header.table_index = self.add_entry(entry);
    }

    /// Replaces the name of a header with its index. Used when the value is new.
    fn compress_name(&mut self, header: &mut Header) {
        let name = (header.name.clone(), Bytes::new());
        match self.indexes.get(&name).copied() {
            Some(index) => {
                header.name_index = index;
                header.name.clear();
            }
            None if self.record_occurrence(&name) => header.name_index = self.add_entry(name),
            None => {}
        }
    }

    /// Counts an occurrence of an entry, and reports whether it occurred before.
    fn record_occurrence(&mut self, entry: &Entry) -> bool {
        if self.seen_counts.len() >= MAX_SEEN_ENTRIES {
            self.seen_counts.clear();
        }
        let count = self.seen_counts.entry(entry.clone()).or_default();
        *count += 1;
        *count > 1
    }

    /// Adds an entry to the table, in place of the oldest one if the table is full.
    fn add_entry(&mut self, entry: Entry) -> u32 {
        let index = self.next_slot + 1;
        self.next_slot = index % TABLE_CAPACITY;
        if let Some(replaced) = self.entries.insert(index, entry.clone()) {
            self.indexes.remove(&replaced);
        }
        self.indexes.insert(entry, index);
        index
    }
}
