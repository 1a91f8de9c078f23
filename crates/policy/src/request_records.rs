//! Request records of a home, with their indexes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use ids::RequestId;
use ids::Unit;

use crate::IdempotencyKey;
use crate::request_record::RequestRecord;

/// Number that identifies a record in [`RequestRecords`].
pub(crate) type RecordNumber = u64;

/// Request records of a home, indexed by id, idempotency key, unit and time of expiry.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecords<A> {
    by_expiry: BTreeSet<(Duration, RecordNumber)>,
    by_id: BTreeMap<RequestId, RecordNumber>,
    by_key: BTreeMap<IdempotencyKey, RecordNumber>,
    by_unit: BTreeSet<(Unit, RecordNumber)>,
    bytes: usize,
    next_number: RecordNumber,
    records: BTreeMap<RecordNumber, RequestRecord<A>>,
}

impl<A: Clone> RequestRecords<A> {
    pub(crate) fn new() -> Self {
        Self {
            by_expiry: BTreeSet::new(),
            by_id: BTreeMap::new(),
            by_key: BTreeMap::new(),
            by_unit: BTreeSet::new(),
            bytes: 0,
            next_number: 0,
            records: BTreeMap::new(),
        }
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of records, or of ids if that is larger.
    pub(crate) fn count(&self) -> usize {
        self.records.len().max(self.by_id.len())
    }

    pub(crate) fn by_id(&self, id: &str) -> Option<RecordNumber> {
        self.by_id.get(id).copied()
    }

    pub(crate) fn by_key(&self, key: &IdempotencyKey) -> Option<RecordNumber> {
        self.by_key.get(key).copied()
    }

    pub(crate) fn of_unit(&self, unit: &Unit) -> Vec<RecordNumber> {
        let first = (unit.clone(), RecordNumber::MIN);
        let last = (unit.clone(), RecordNumber::MAX);
        self.by_unit
            .range(first..=last)
            .map(|(_, number)| *number)
            .collect()
    }

    pub(crate) fn get(&self, number: RecordNumber) -> &RequestRecord<A> {
        &self.records[&number]
    }

    pub(crate) fn insert(&mut self, record: RequestRecord<A>) -> RecordNumber {
        let number = self.next_number;
        self.next_number += 1;
        self.index(number, &record);
        self.records.insert(number, record);
        number
    }

    pub(crate) fn remove(&mut self, number: RecordNumber) -> Option<RequestRecord<A>> {
        let record = self.records.remove(&number)?;
        self.unindex(number, &record);
        Some(record)
    }

    /// Changes a record and updates the indexes.
    pub(crate) fn update(
        &mut self,
        number: RecordNumber,
        change: impl FnOnce(&mut RequestRecord<A>),
    ) {
        if let Some(mut record) = self.remove(number) {
            change(&mut record);
            self.index(number, &record);
            self.records.insert(number, record);
        }
    }

    /// Removes the records that have expired.
    pub(crate) fn expire(&mut self, now: Duration) {
        while let Some((expires_at, number)) = self.by_expiry.first().copied() {
            if now < expires_at {
                return;
            }
            self.remove(number);
        }
    }

    fn index(&mut self, number: RecordNumber, record: &RequestRecord<A>) {
        self.bytes += record.bytes();
        if let Some(expires_at) = record.expires_at {
            self.by_expiry.insert((expires_at, number));
        }
        for id in &record.ids {
            self.by_id.insert(id.clone(), number);
        }
        if let Some((key, _)) = &record.key {
            self.by_key.insert(key.clone(), number);
        }
        if let Some(unit) = &record.unit {
            self.by_unit.insert((unit.clone(), number));
        }
    }

    fn unindex(&mut self, number: RecordNumber, record: &RequestRecord<A>) {
        self.bytes -= record.bytes();
        if let Some(expires_at) = record.expires_at {
            self.by_expiry.remove(&(expires_at, number));
        }
        for id in &record.ids {
            remove_if_current(&mut self.by_id, id, number);
        }
        if let Some((key, _)) = &record.key {
            remove_if_current(&mut self.by_key, key, number);
        }
        if let Some(unit) = &record.unit {
            self.by_unit.remove(&(unit.clone(), number));
        }
    }
}

/// Removes `key` from an index unless it maps to a record that was inserted later.
fn remove_if_current<K: Ord>(index: &mut BTreeMap<K, RecordNumber>, key: &K, number: RecordNumber) {
    if index.get(key) == Some(&number) {
        index.remove(key);
    }
}
