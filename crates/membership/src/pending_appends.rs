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
    /// Whether the record was appended more than once, so that the outcome of an earlier append may be unknown.
    is_repeated: bool,
    /// Whether the log will never accept the record.
    is_rejected: bool,
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
        let pending = PendingAppend {
            is_repeated: false,
            is_rejected: false,
            retry_at: now + APPEND_RETRY,
            record,
        };
        self.pending.insert(id.clone(), pending);
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

    /// Records that the log will never accept a record. Returns the record if that was not known.
    ///
    /// A move that was appended before may still be written, and its units must not be served until that is known. It stays
    /// pending.
    pub(crate) fn reject(&mut self, id: &str) -> Option<&Record> {
        let pending = self.pending.get_mut(id)?;
        let may_be_written = pending.is_repeated;
        let is_unsafe = may_be_written && matches!(pending.record.body, Body::Move { .. });
        if pending.is_rejected || is_unsafe {
            return None;
        }
        pending.is_rejected = true;
        Some(&pending.record)
    }

    /// Repeats the appends whose retry time has come, but removes and returns the records that the log will never accept.
    ///
    /// They stay pending until then, so that what takes their place is not appended more often than a retry would be.
    pub(crate) fn retry_due(&mut self, now: Duration, actions: &mut Vec<Action>) -> Vec<Record> {
        for pending in self.pending.values_mut() {
            if now >= pending.retry_at && !pending.is_rejected {
                pending.is_repeated = true;
                pending.retry_at = now + APPEND_RETRY;
                actions.push(Action::Append(pending.record.clone()));
            }
        }
        let rejected = self.pending.extract_if(.., |_, pending| {
            now >= pending.retry_at && pending.is_rejected
        });
        rejected.map(|(_, pending)| pending.record).collect()
    }

    /// Reports whether a pending record satisfies `predicate`.
    pub(crate) fn any(&self, predicate: impl Fn(&Body) -> bool) -> bool {
        let mut pending = self.pending.values();
        pending.any(|pending| predicate(&pending.record.body))
    }

    /// Drops pending records that satisfy `predicate`, which are not repeated any more but may still be written.
    pub(crate) fn drop_where(&mut self, predicate: impl Fn(&Body) -> bool) {
        self.pending
            .retain(|_, pending| !predicate(&pending.record.body));
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
