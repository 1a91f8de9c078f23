//! Assembly of records that were written in parts.

use std::collections::BTreeMap;

use ids::Offset;
use ids::RecordId;
use serde::Deserialize;
use serde::Serialize;

use crate::Body;
use crate::Record;

/// Maximum number of parts of a record.
const MAX_PARTS: u32 = 64;

/// Maximum number of records whose parts are kept.
const MAX_INCOMPLETE: usize = 8;

/// Number of offsets after the first part of a record within which its other parts must follow. The writer of a record
/// that is not complete by then repeats all its parts.
const MAX_PART_DISTANCE: Offset = 512;

/// Assembles records from their parts, which are read in log order.
///
/// The parts of different records may be interleaved, and parts may be repeated.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct RecordAssembler {
    incomplete: BTreeMap<RecordId, IncompleteRecord>,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct IncompleteRecord {
    /// Offset of the first part that was read.
    first: Offset,
    parts: u32,
    read: BTreeMap<u32, String>,
}

impl RecordAssembler {
    /// Adds the record at `offset`. Returns a whole record as it is, and the record that a part completes, but `None` for a
    /// part of a record that lacks others.
    ///
    /// # Errors
    ///
    /// Returns the reason if the parts do not belong to one valid record.
    pub fn add(&mut self, offset: Offset, record: Record) -> Result<Option<Record>, String> {
        self.evict_before(offset.saturating_sub(MAX_PART_DISTANCE));
        let Body::Part { part, parts, data } = record.body else {
            return Ok(Some(record));
        };
        if part >= parts || parts > MAX_PARTS {
            return Err(format!(
                "part {part} of {parts} does not belong to a valid record of at most {MAX_PARTS} parts"
            ));
        }
        let Some(text) = self.add_part(offset, &record.id, part, parts, data) else {
            return Ok(None);
        };
        let whole = serde_json::from_str::<Record>(&text)
            .map_err(|error| format!("invalid record in {parts} parts: {error}"))?;
        if whole.id != record.id || matches!(whole.body, Body::Part { .. }) {
            return Err(format!("the {parts} parts belong to different records"));
        }
        Ok(Some(whole))
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.incomplete.is_empty()
    }

    /// Adds a part, and returns the text of the record if the part completes it.
    fn add_part(
        &mut self,
        offset: Offset,
        id: &RecordId,
        part: u32,
        parts: u32,
        data: String,
    ) -> Option<String> {
        let new = || IncompleteRecord {
            first: offset,
            parts,
            read: BTreeMap::new(),
        };
        let record = self.incomplete.entry(id.clone()).or_insert_with(new);
        if record.parts != parts {
            *record = new();
        }
        record.read.insert(part, data);
        if record.read.len() < parts as usize {
            self.evict_excess();
            return None;
        }
        let record = self.incomplete.remove(id)?;
        Some(record.read.into_values().collect())
    }

    fn evict_before(&mut self, offset: Offset) {
        self.incomplete.retain(|_, record| record.first >= offset);
    }

    fn evict_excess(&mut self) {
        if self.incomplete.len() <= MAX_INCOMPLETE {
            return;
        }
        let records = self.incomplete.iter();
        let oldest = records.min_by_key(|(_, record)| record.first);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.incomplete.remove(&id);
        }
    }
}
