//! Progress of the snapshots in the log.

use std::collections::BTreeSet;

use ids::Offset;
use serde::Deserialize;
use serde::Serialize;

/// Maximum number of incomplete snapshots that are tracked.
const MAX_PENDING: usize = 8;

/// Maximum number of parts of a snapshot.
pub(crate) const MAX_PARTS: u32 = 1_024;

/// Tracks which snapshots the log holds, complete or in part. Their content is not part of the state.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct SnapshotProgress {
    pending: Vec<PendingSnapshot>,
    through: Offset,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct PendingSnapshot {
    parts: u32,
    read: BTreeSet<u32>,
    through: Offset,
    writer: String,
}

impl SnapshotProgress {
    pub(crate) fn through(&self) -> Offset {
        self.through
    }

    /// Records one part, and returns whether it completes the snapshot.
    pub(crate) fn add_part(
        &mut self,
        writer: &str,
        through: Offset,
        part: u32,
        parts: u32,
    ) -> bool {
        if through <= self.through {
            return false;
        }
        let index = self.find_or_insert(writer, through, parts);
        self.pending[index].read.insert(part);
        if self.pending[index].read.len() < parts as usize {
            self.evict_excess();
            return false;
        }
        self.through = through;
        self.pending.retain(|pending| pending.through > through);
        true
    }

    fn find_or_insert(&mut self, writer: &str, through: Offset, parts: u32) -> usize {
        let found = self.pending.iter().position(|pending| {
            pending.writer == writer && pending.through == through && pending.parts == parts
        });
        found.unwrap_or_else(|| {
            self.pending.push(PendingSnapshot {
                parts,
                read: BTreeSet::new(),
                through,
                writer: writer.to_owned(),
            });
            self.pending.len() - 1
        })
    }

    fn evict_excess(&mut self) {
        if self.pending.len() > MAX_PENDING {
            self.pending.remove(0);
        }
    }
}
