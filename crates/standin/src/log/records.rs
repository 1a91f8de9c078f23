//! In-memory records of the log stand-in.

use std::collections::VecDeque;
use std::sync::Arc;

use ids::Offset;
use serde::Serialize;

/// Maximum total size of the records in one page, in bytes. A page with a single larger record may exceed it.
const MAX_PAGE_BYTES: usize = 4 * 1024 * 1024;

/// Records with consecutive offsets that start at `first_offset`.
#[derive(Debug)]
pub(crate) struct Records {
    bodies: VecDeque<Arc<str>>,
    first_offset: Offset,
    max_records: Option<usize>,
}

/// Response to a read: some records and the range of offsets that the log holds.
#[derive(Debug, Serialize)]
pub(crate) struct Page {
    pub(crate) first: Offset,
    pub(crate) next: Offset,
    pub(crate) records: Vec<OffsetRecord>,
}

/// Record with its offset.
#[derive(Debug, Serialize)]
pub(crate) struct OffsetRecord {
    offset: Offset,
    body: Arc<str>,
}

impl Records {
    pub(crate) fn new(max_records: Option<usize>) -> Self {
        Self {
            bodies: VecDeque::new(),
            first_offset: 1,
            max_records,
        }
    }

    /// Returns the offset of the next record to be appended.
    pub(crate) fn next_offset(&self) -> Offset {
        self.first_offset + self.bodies.len() as Offset
    }

    /// Appends a record and returns its offset. Drops the oldest record when there are more than `max_records`.
    pub(crate) fn append(&mut self, body: &str) -> Offset {
        let offset = self.next_offset();
        self.bodies.push_back(Arc::from(body));
        if self
            .max_records
            .is_some_and(|max_records| self.bodies.len() > max_records)
        {
            self.bodies.pop_front();
            self.first_offset += 1;
        }
        offset
    }

    /// Returns at most `max` records starting at `from`.
    ///
    /// # Errors
    ///
    /// Returns the oldest offset kept when `from` is older.
    pub(crate) fn read(&self, from: Offset, max: usize) -> Result<Page, Offset> {
        let skipped = from
            .checked_sub(self.first_offset)
            .ok_or(self.first_offset)?;
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let records = (from..)
            .zip(self.bodies.iter().skip(skipped))
            .take(max)
            .take_while(|(offset, body)| {
                bytes += body.len();
                *offset == from || bytes <= MAX_PAGE_BYTES
            })
            .map(|(offset, body)| OffsetRecord {
                offset,
                body: Arc::clone(body),
            })
            .collect();
        Ok(Page {
            first: self.first_offset,
            next: self.next_offset(),
            records,
        })
    }
}
