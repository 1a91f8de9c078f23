//! Appending a record and reading it back.

use std::time::Duration;
use std::time::Instant;

use cluster::Body;
use cluster::Outcome;
use cluster::Record;
use ids::Offset;
use ids::RecordId;
use records::AppendError;
use uuid::Uuid;

use crate::failure::Failure;
use crate::folded_log::FoldedLog;
use crate::folded_log::Found;

/// Time between two attempts.
const RETRY: Duration = Duration::from_millis(200);

/// Appends a record until it is read back or time is up. The id stays the same, so that a repetition has no effect.
pub(crate) struct ConfirmedAppend<'f, 'l> {
    deadline: Instant,
    folded: &'f mut FoldedLog<'l>,
    id: RecordId,
    /// Why the record may be in the log, once an answer is missing.
    may_be_written: Option<String>,
    text: String,
}

impl<'f, 'l> ConfirmedAppend<'f, 'l> {
    pub(crate) fn new(
        folded: &'f mut FoldedLog<'l>,
        body: Body,
        writer: &str,
        timeout: Duration,
    ) -> Self {
        let record = Record {
            body,
            id: Uuid::new_v4().to_string(),
            writer: writer.to_owned(),
        };
        let text = serde_json::to_string(&record)
            .expect("every map of a record has keys that JSON can hold");
        Self {
            deadline: Instant::now() + timeout,
            folded,
            id: record.id,
            may_be_written: None,
            text,
        }
    }

    /// Returns the offset at which the record took effect.
    ///
    /// # Errors
    ///
    /// Returns whether the record would have or had no effect, was never written, or may be in the log.
    pub(crate) fn run(mut self) -> Result<Offset, Failure> {
        self.check()?;
        loop {
            let refusal = self.append();
            if self.may_be_written.is_some()
                && let Some(found) = self.find()
            {
                return taken(found);
            }
            if Instant::now() + RETRY > self.deadline {
                return Err(self.give_up(refusal));
            }
            std::thread::sleep(RETRY);
        }
    }

    /// Refuses a record that would have no effect on the log as it was read.
    fn check(&self) -> Result<(), Failure> {
        let mut trial = self.folded.fleet.clone();
        let next = trial.next_offset().max(1);
        match trial.apply(next, self.text.as_bytes()) {
            Outcome::Applied(_) | Outcome::Repeated => Ok(()),
            Outcome::Rejected(reason) => Err(Failure::Refused(reason)),
        }
    }

    /// Appends the record once, and returns why it was refused, if it was.
    fn append(&mut self) -> Option<String> {
        match self.folded.log().append(self.text.as_bytes()) {
            Ok(offset) => {
                self.may_be_written = Some(format!("at offset {offset}, which cannot be read"));
                None
            }
            Err(AppendError::Refused(reason)) => Some(reason),
            Err(AppendError::Unknown(reason)) => {
                self.may_be_written = Some(reason);
                None
            }
        }
    }

    fn find(&mut self) -> Option<Found> {
        match self.folded.read_on(Some(&self.id)) {
            Ok(found) => found,
            Err(failure) => {
                self.may_be_written = Some(failure.to_string());
                None
            }
        }
    }

    fn give_up(self, refusal: Option<String>) -> Failure {
        match self.may_be_written {
            Some(reason) => Failure::Unknown {
                id: self.id,
                reason,
            },
            None => Failure::NotWritten {
                reason: refusal.unwrap_or_default(),
            },
        }
    }
}

fn taken(found: Found) -> Result<Offset, Failure> {
    match found.outcome {
        Outcome::Applied(_) | Outcome::Repeated => Ok(found.offset),
        Outcome::Rejected(reason) => Err(Failure::Refused(reason)),
    }
}
