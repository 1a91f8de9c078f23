//! Search for a snapshot in the log.

use std::collections::BTreeMap;

use ids::Offset;

use crate::Body;
use crate::Fleet;
use crate::Record;
use crate::RecordAssembler;
use crate::SnapshotError;

/// Maximum number of incomplete snapshots whose parts are kept.
const MAX_PENDING_SNAPSHOTS: usize = 4;

/// Collects the parts of snapshots from records that are read in log order.
///
/// A starting process passes it every record that the log still holds. Once the reader returns a fleet, the process
/// reads the records from `Fleet::next_offset` on again and applies them. These include the parts of the snapshot
/// itself.
#[derive(Debug, Default)]
pub struct SnapshotReader {
    assembler: RecordAssembler,
    parts: BTreeMap<SnapshotKey, BTreeMap<u32, String>>,
}

/// Offset of the last record that a snapshot covers, its writer and its number of parts.
type SnapshotKey = (Offset, String, u32);

impl SnapshotReader {
    /// Adds the record at `offset`. If it completes a snapshot, returns the restored state.
    ///
    /// # Errors
    ///
    /// Fails if the completed snapshot is damaged or has an unknown format.
    pub fn add(&mut self, offset: Offset, bytes: &[u8]) -> Result<Option<Fleet>, SnapshotError> {
        let Ok(record) = serde_json::from_slice::<Record>(bytes) else {
            return Ok(None);
        };
        let Ok(Some(record)) = self.assembler.add(offset, record) else {
            return Ok(None);
        };
        let Body::SnapshotChunk {
            through,
            part,
            parts,
            data,
        } = record.body
        else {
            return Ok(None);
        };
        if part >= parts {
            return Ok(None);
        }
        let key = (through, record.writer, parts);
        let received = self.parts.entry(key.clone()).or_default();
        received.insert(part, data);
        if received.len() < parts as usize {
            self.evict_excess();
            return Ok(None);
        }
        let chunks: Vec<String> = self
            .parts
            .remove(&key)
            .unwrap_or_default()
            .into_values()
            .collect();
        Fleet::restore(&chunks).map(Some)
    }

    fn evict_excess(&mut self) {
        if self.parts.len() > MAX_PENDING_SNAPSHOTS {
            self.parts.pop_first();
        }
    }
}
