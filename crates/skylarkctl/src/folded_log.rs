//! The log as far as it has been read.

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

/// Number of records in one read.
const BATCH: usize = 1000;

/// The log as far as it has been read.
pub(crate) struct FoldedLog<'a> {
    pub(crate) fleet: Fleet,
    log: &'a dyn Log,
    /// Offset and writer of the publications that took effect.
    publications: Vec<(Offset, String)>,
}

/// A record that was looked for.
pub(crate) struct Found {
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
        match folded.read_on(None) {
            Err(Failure::Read(ReadError::Expired { first })) => {
                folded.fleet = newest_snapshot(log, first)?;
                folded.read_on(None)?;
            }
            result => drop(result?),
        }
        Ok(folded)
    }

    /// Applies all records that are there now, and returns the one with the id that is looked for.
    pub(crate) fn read_on(&mut self, wanted: Option<&RecordId>) -> Result<Option<Found>, Failure> {
        let mut found = None;
        loop {
            let from = self.fleet.next_offset().max(1);
            let batch = self.log.read(from, BATCH, Duration::ZERO)?;
            for stored in &batch.records {
                let newly_found = self.apply(stored.offset, &stored.body, wanted);
                found = found.or(newly_found);
            }
            if self.fleet.next_offset() >= batch.next || batch.records.is_empty() {
                return Ok(found);
            }
        }
    }

    /// Returns who published a version, as far as the log still tells.
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

    fn apply(&mut self, offset: Offset, body: &str, wanted: Option<&RecordId>) -> Option<Found> {
        let outcome = self.fleet.apply(offset, body.as_bytes());
        let record: Record = serde_json::from_str(body).ok()?;
        if matches!(outcome, Outcome::Applied(_)) && matches!(record.body, Body::Publish { .. }) {
            self.publications.push((offset, record.writer));
        }
        let is_wanted = wanted == Some(&record.id);
        (is_wanted && outcome != Outcome::Repeated).then_some(Found { offset, outcome })
    }
}

fn newest_snapshot(log: &dyn Log, first: Offset) -> Result<Fleet, Failure> {
    let mut reader = SnapshotReader::default();
    let mut newest: Option<Fleet> = None;
    let mut next = first;
    loop {
        let batch: Batch = log.read(next, BATCH, Duration::ZERO)?;
        for stored in &batch.records {
            if let Some(fleet) = reader.add(stored.body.as_bytes())? {
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
