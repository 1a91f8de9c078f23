//! Finding a snapshot in the log.

use std::collections::BTreeMap;

use ids::Offset;

use crate::Body;
use crate::Fleet;
use crate::Record;
use crate::SnapshotError;

/// Snapshots of which parts are kept at a time.
const MAX_PENDING_SNAPSHOTS: usize = 4;

/// Collects the parts of snapshots from records that are read in the order of the log.
///
/// A process that starts feeds it every record that the log still holds. Once it returns a fleet,
/// the process applies the records from `Fleet::next_offset` on, which it reads again. The parts of the
/// snapshot itself are among them.
#[derive(Debug, Default)]
pub struct SnapshotReader {
    parts: BTreeMap<SnapshotKey, BTreeMap<u32, String>>,
}

/// Offset that a snapshot covers, its writer and its number of parts.
type SnapshotKey = (Offset, String, u32);

impl SnapshotReader {
    /// Adds a record, and returns the state once a snapshot is complete.
    ///
    /// # Errors
    ///
    /// Fails if the completed snapshot is damaged or has an unknown form.
    pub fn add(&mut self, bytes: &[u8]) -> Result<Option<Fleet>, SnapshotError> {
        let Ok(record) = serde_json::from_slice::<Record>(bytes) else {
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
