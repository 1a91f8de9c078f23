//! In-memory log for tests.

use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use ids::Offset;

use crate::AppendError;
use crate::Batch;
use crate::Log;
use crate::ReadError;
use crate::StoredRecord;

/// A log that keeps its records in memory and can simulate faults.
#[derive(Debug, Default)]
pub struct MemoryLog {
    changed: Condvar,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    answers_to_lose: usize,
    down: bool,
    expired: usize,
    records: Vec<String>,
}

impl MemoryLog {
    /// Creates an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets whether the log is down. While it is down, appends and reads fail.
    pub fn set_down(&self, down: bool) {
        self.state().down = down;
        self.changed.notify_all();
    }

    /// Makes the next `count` appends store their records but return [`AppendError::Unknown`].
    pub fn lose_answers(&self, count: usize) {
        self.state().answers_to_lose = count;
    }

    /// Expires all records with offsets below `first`.
    pub fn expire_below(&self, first: Offset) {
        let mut state = self.state();
        let kept = state.records.len();
        state.expired = (first.saturating_sub(1) as usize).min(kept);
    }

    /// Returns all records that were ever appended, in order, including expired ones.
    pub fn records(&self) -> Vec<String> {
        self.state().records.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn first(&self) -> Offset {
        self.expired as Offset + 1
    }

    fn next(&self) -> Offset {
        self.records.len() as Offset + 1
    }

    fn read(&self, from: Offset, max: usize) -> Result<Batch, ReadError> {
        let first = self.first();
        if self.down {
            return Err(ReadError::Unavailable("down".to_owned()));
        }
        if from < first {
            return Err(ReadError::Expired { first });
        }
        let records = (from..self.next())
            .take(max)
            .map(|offset| StoredRecord {
                body: self.records[offset as usize - 1].clone(),
                offset,
            })
            .collect();
        Ok(Batch {
            first,
            generation: 0,
            next: self.next(),
            records,
        })
    }
}

impl Log for MemoryLog {
    fn append(&self, record: &[u8]) -> Result<Offset, AppendError> {
        let mut state = self.state();
        if state.down {
            return Err(AppendError::Refused("down".to_owned()));
        }
        let body = String::from_utf8(record.to_vec())
            .map_err(|error| AppendError::Unacceptable(error.to_string()))?;
        let offset = state.next();
        state.records.push(body);
        self.changed.notify_all();
        if state.answers_to_lose > 0 {
            state.answers_to_lose -= 1;
            return Err(AppendError::Unknown("answer lost".to_owned()));
        }
        Ok(offset)
    }

    fn read(&self, from: Offset, max: usize, wait: Duration) -> Result<Batch, ReadError> {
        let (state, _) = self
            .changed
            .wait_timeout_while(self.state(), wait, |state| {
                !state.down && from >= state.next()
            })
            .unwrap_or_else(PoisonError::into_inner);
        state.read(from, max)
    }
}
