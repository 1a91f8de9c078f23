//! Decompression of repeated headers.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::Header;
use crate::header_encoder::TABLE_CAPACITY;

/// Restores headers that [`crate::header_encoder::HeaderEncoder`] compressed.
#[derive(Debug, Default)]
pub(crate) struct HeaderDecoder {
    table: BTreeMap<u32, (String, Bytes)>,
}

impl HeaderDecoder {
    /// Restores headers in the order in which they were sent. Returns `None` if an index is unknown.
    pub(crate) fn decode(&mut self, headers: &mut [Header]) -> Option<()> {
        headers
            .iter_mut()
            .try_for_each(|header| self.restore(header))
    }

    fn restore(&mut self, header: &mut Header) -> Option<()> {
        if header.table_index > TABLE_CAPACITY || header.name_index > TABLE_CAPACITY {
            return None;
        }
        if header.table_index > 0 && header.name.is_empty() {
            let (name, value) = self.table.get(&header.table_index)?;
            header.name.clone_from(name);
            header.value.clone_from(value);
        } else if header.table_index > 0 {
            let entry = (header.name.clone(), header.value.clone());
            self.table.insert(header.table_index, entry);
        } else if header.name_index > 0 && header.name.is_empty() {
            header
                .name
                .clone_from(&self.table.get(&header.name_index)?.0);
        } else if header.name_index > 0 {
            let entry = (header.name.clone(), Bytes::new());
            self.table.insert(header.name_index, entry);
        }
        header.table_index = 0;
        header.name_index = 0;
        Some(())
    }
}
