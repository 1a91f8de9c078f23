//! Repeated headers, as they are sent.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::Header;

/// Headers that a link remembers in each direction.
pub(crate) const TABLE_CAPACITY: u32 = 128;

/// Longest header that is remembered, in bytes.
const MAX_ENTRY_BYTES: usize = 256;

/// Headers that were seen once and are remembered when they are seen again.
const MAX_SEEN_ENTRIES: usize = 512;

type Entry = (String, Bytes);

/// Replaces headers that were sent before by their index in a table that both ends keep.
///
/// A header is sent as it is the first time, sent with its index the second time, and by its index from then on. Names
/// whose values differ are remembered in the same way, with an empty value.
#[derive(Debug, Default)]
pub(crate) struct HeaderEncoder {
    next_slot: u32,
    indexes: BTreeMap<Entry, u32>,
    seen_counts: BTreeMap<Entry, u32>,
    entries: BTreeMap<u32, Entry>,
}

impl HeaderEncoder {
    /// Shortens headers, in the order in which they are sent.
    pub(crate) fn encode(&mut self, headers: &mut [Header]) {
        for header in headers {
            self.shorten(header);
        }
    }

    fn shorten(&mut self, header: &mut Header) {
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
            self.shorten_name(header);
            return;
        }
        header.table_index = self.add_entry(entry);
    }

    /// Sends the name of a header whose value is new by its index.
    fn shorten_name(&mut self, header: &mut Header) {
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

    /// Tells whether a header was seen before, and notes that it was.
    fn record_occurrence(&mut self, entry: &Entry) -> bool {
        if self.seen_counts.len() >= MAX_SEEN_ENTRIES {
            self.seen_counts.clear();
        }
        let count = self.seen_counts.entry(entry.clone()).or_default();
        *count += 1;
        *count > 1
    }

    fn add_entry(&mut self, entry: Entry) -> u32 {
        let index = self.next_slot + 1;
        self.next_slot = index % TABLE_CAPACITY;
        if let Some(former) = self.entries.insert(index, entry.clone()) {
            self.indexes.remove(&former);
        }
        self.indexes.insert(entry, index);
        index
    }
}
