//! The fleet state, folded from the log.

use std::time::Duration;

use cluster::Body;
use cluster::Fleet;
use cluster::Outcome;
use cluster::Record;
use cluster::SnapshotReader;
use ids::Offset;
use ids::RecordId;
use records::Batch;
use records::Log;
use records::ReadError;

use crate::failure::Failure;

/// Maximum number of records in one read.
const MAX_READ_RECORDS: usize = 1000;

/// The fleet state, folded from the records read so far.
pub(crate) struct FoldedLog<'a> {
    pub(crate) fleet: Fleet,
    log: &'a dyn Log,
    /// Offsets and writers of the publications that took effect.
    publications: Vec<(Offset, String)>,
}

/// The wanted record and its outcome.
pub(crate) struct FoundRecord {
    pub(crate) offset: Offset,
    pub(crate) outcome: Outcome,
}

impl<'a> FoldedLog<'a> {
    /// Reads the log from its beginning, or from the newest snapshot in it.
    pub(crate) fn read(log: &'a dyn Log) -> Result<Self, Failure> {
        let mut folded = Self {
            fleet: Fleet::default(),
            log,
            publications: Vec::new(),
        };
        match folded.read_new_records(None) {
            Err(Failure::Read(ReadError::Expired { first })) => {
                folded.fleet = newest_snapshot(log, first)?;
                folded.read_new_records(None)?;
            }
            result => drop(result?),
        }
        Ok(folded)
    }

    /// Applies all records up to the end of the log, and returns the one with the `wanted` id.
    pub(crate) fn read_new_records(
        &mut self,
        wanted: Option<&RecordId>,
    ) -> Result<Option<FoundRecord>, Failure> {
        let mut found = None;
        loop {
            let from = self.fleet.next_offset().max(1);
            let batch = self.log.read(from, MAX_READ_RECORDS, Duration::ZERO)?;
            for stored in &batch.records {
                let newly_found = self.apply(stored.offset, &stored.body, wanted);
                found = found.or(newly_found);
            }
            if self.fleet.next_offset() >= batch.next || batch.records.is_empty() {
                return Ok(found);
            }
        }
    }

    /// Returns the writer who published a version, or a placeholder if the record is no longer in the log.
    pub(crate) fn writer_of(&self, version: Offset) -> String {
        self.publications
            .iter()
            .find(|(offset, _)| *offset == version)
            .map_or_else(
                || "an earlier writer".to_owned(),
                |(_, writer)| writer.clone(),
            )
    }

    pub(crate) fn log(&self) -> &'a dyn Log {
        self.log
    }

    fn apply(
        &mut self,
        offset: Offset,
        body: &str,
        wanted: Option<&RecordId>,
    ) -> Option<FoundRecord> {
        let outcome = self.fleet.apply(offset, body.as_bytes());
        let record: Record = serde_json::from_str(body).ok()?;
        let is_publication = matches!(record.body, Body::Part { .. } | Body::Publish { .. });
        if is_publication && matches!(outcome, Outcome::Applied(_)) {
            self.publications.push((offset, record.writer));
        }
        let is_wanted = wanted == Some(&record.id);
        let is_complete = !matches!(outcome, Outcome::Incomplete | Outcome::Repeated);
        (is_wanted && is_complete).then_some(FoundRecord { offset, outcome })
    }
}

fn newest_snapshot(log: &dyn Log, first: Offset) -> Result<Fleet, Failure> {
    let mut reader = SnapshotReader::default();
    let mut newest: Option<Fleet> = None;
    let mut next = first;
    loop {
        let batch: Batch = log.read(next, MAX_READ_RECORDS, Duration::ZERO)?;
        for stored in &batch.records {
            if let Some(fleet) = reader.add(stored.offset, stored.body.as_bytes())? {
                newest = Some(fleet);
            }
            next = stored.offset + 1;
        }
        if next >= batch.next || batch.records.is_empty() {
            return newest
                .filter(|fleet| fleet.next_offset() >= first)
                .ok_or(Failure::NoSnapshot { first });
        }
    }
}
