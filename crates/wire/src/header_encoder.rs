//! Repeated headers, as they are sent.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::Header;

/// Headers that a link remembers in each direction.
pub(crate) const TABLE_HEADERS: u32 = 128;

/// Longest header that is remembered, in bytes.
const LONGEST_BYTES: usize = 256;

/// Headers that were seen once and are remembered when they are seen again.
const SEEN_HEADERS: usize = 512;

type Entry = (String, Bytes);

/// Replaces headers that were sent before by their place in a table that both ends keep.
///
/// A header is sent as it is the first time, sent with its place the second time, and by its place from then on. Names
/// whose values differ are remembered in the same way, with an empty value.
#[derive(Debug, Default)]
pub(crate) struct HeaderEncoder {
    next: u32,
    places: BTreeMap<Entry, u32>,
    seen: BTreeMap<Entry, u32>,
    taken: BTreeMap<u32, Entry>,
}

impl HeaderEncoder {
    /// Shortens headers, in the order in which they are sent.
    pub(crate) fn encode(&mut self, headers: &mut [Header]) {
        for header in headers {
            self.shorten(header);
        }
    }

    fn shorten(&mut self, header: &mut Header) {
        if header.name.len() + header.value.len() > LONGEST_BYTES {
            return;
        }
        let whole = (header.name.clone(), header.value.clone());
        if let Some(place) = self.places.get(&whole) {
            header.place = *place;
            header.name.clear();
            header.value.clear();
            return;
        }
        if !self.is_repeated(&whole) {
            self.shorten_name(header);
            return;
        }
        header.place = self.take_place(whole);
    }

    /// Sends the name of a header whose value is new by its place.
    fn shorten_name(&mut self, header: &mut Header) {
        let name = (header.name.clone(), Bytes::new());
        match self.places.get(&name).copied() {
            Some(place) => {
                header.name_place = place;
                header.name.clear();
            }
            None if self.is_repeated(&name) => header.name_place = self.take_place(name),
            None => {}
        }
    }

    /// Tells whether a header was seen before, and notes that it was.
    fn is_repeated(&mut self, entry: &Entry) -> bool {
        if self.seen.len() >= SEEN_HEADERS {
            self.seen.clear();
        }
        let count = self.seen.entry(entry.clone()).or_default();
        *count += 1;
        *count > 1
    }

    fn take_place(&mut self, entry: Entry) -> u32 {
        let place = self.next + 1;
        self.next = place % TABLE_HEADERS;
        if let Some(former) = self.taken.insert(place, entry.clone()) {
            self.places.remove(&former);
        }
        self.places.insert(entry, place);
        place
    }
}
