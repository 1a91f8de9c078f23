//! Records that have been appended but not read back.

use std::collections::BTreeMap;
use std::time::Duration;

use cluster::Body;
use cluster::Record;
use ids::RecordId;

use crate::Action;
use crate::times::APPEND_RETRY;

/// Records that have been appended but not read back.
///
/// An append is complete only when its record is read back, so it does not matter whether the answer to
/// the append was lost. A repeated append has no effect.
#[derive(Debug)]
pub(crate) struct PendingAppends {
    pending: BTreeMap<RecordId, PendingAppend>,
    seed: u64,
    sequence: u64,
    writer: String,
}

#[derive(Debug)]
struct PendingAppend {
    retry_at: Duration,
    record: Record,
}

impl PendingAppends {
    pub(crate) fn new(seed: u64, writer: String) -> Self {
        Self {
            pending: BTreeMap::new(),
            seed,
            sequence: 0,
            writer,
        }
    }

    /// Appends a record under a new id, and returns the id.
    pub(crate) fn append(
        &mut self,
        now: Duration,
        body: Body,
        actions: &mut Vec<Action>,
    ) -> RecordId {
        let record = Record {
            body,
            id: self.next_id(),
            writer: self.writer.clone(),
        };
        let id = record.id.clone();
        actions.push(Action::Append(record.clone()));
        let retry_at = now + APPEND_RETRY;
        self.pending
            .insert(id.clone(), PendingAppend { retry_at, record });
        id
    }

    fn next_id(&mut self) -> RecordId {
        self.sequence += 1;
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.writer.as_bytes());
        hasher.update(&self.seed.to_le_bytes());
        hasher.update(&self.sequence.to_le_bytes());
        hasher.finalize().to_hex()[..32].to_owned()
    }

    /// Removes and returns the pending record that was read back, if `text` is one.
    pub(crate) fn read_back(&mut self, text: &str) -> Option<Record> {
        let id = self
            .pending
            .keys()
            .find(|id| text.contains(id.as_str()))?
            .clone();
        let read = serde_json::from_str::<Record>(text).ok()?;
        if read.id != id {
            return None;
        }
        self.pending.remove(&id).map(|pending| pending.record)
    }

    /// Repeats the appends whose retry time has come.
    pub(crate) fn retry_due(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for pending in self.pending.values_mut() {
            if now >= pending.retry_at {
                pending.retry_at = now + APPEND_RETRY;
                actions.push(Action::Append(pending.record.clone()));
            }
        }
    }

    /// Reports whether a pending record satisfies `predicate`.
    pub(crate) fn any(&self, predicate: impl Fn(&Body) -> bool) -> bool {
        let mut pending = self.pending.values();
        pending.any(|pending| predicate(&pending.record.body))
    }

    /// Drops pending parts of snapshots.
    pub(crate) fn drop_snapshots(&mut self) {
        let is_part = |body: &Body| matches!(body, Body::SnapshotChunk { .. });
        self.pending
            .retain(|_, pending| !is_part(&pending.record.body));
    }

    /// Returns the number of pending records.
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Drops all pending records, because the incarnation that appended them has ended.
    pub(crate) fn clear(&mut self) {
        self.pending.clear();
    }
}
