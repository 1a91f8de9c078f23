//! Appending a record and reading it back.

use std::time::Duration;
use std::time::Instant;

use cluster::Body;
use cluster::Outcome;
use cluster::Record;
use ids::Offset;
use ids::RecordId;
use records::AppendError;
use records::AppendLimits;
use uuid::Uuid;

use crate::failure::Failure;
use crate::folded_log::FoldedLog;
use crate::folded_log::FoundRecord;

/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Appends a record, and retries until it is read back or the deadline passes. Every attempt uses the same record id, so
/// that duplicates have no effect.
pub(crate) struct ConfirmedAppend<'f, 'l> {
    deadline: Instant,
    folded: &'f mut FoldedLog<'l>,
    id: RecordId,
    /// Reason that the record may be in the log although it was not read back, or `None` if it certainly is not in it.
    unconfirmed_reason: Option<String>,
    /// Records of the log that hold the record: one, or its parts.
    encoded: Vec<Vec<u8>>,
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
        let encoded = record
            .encode(AppendLimits::default().record_bytes)
            .expect("every map of a record has keys that JSON can hold");
        Self {
            deadline: Instant::now() + timeout,
            folded,
            id: record.id,
            unconfirmed_reason: None,
            encoded,
        }
    }

    /// Returns the offset at which the record took effect.
    ///
    /// # Errors
    ///
    /// Returns an error when the record would have or had no effect, was never written, or may be in the log.
    pub(crate) fn run(mut self) -> Result<Offset, Failure> {
        self.check_applicable()?;
        loop {
            let refusal = self.append()?;
            if self.unconfirmed_reason.is_some()
                && let Some(found) = self.find_record()
            {
                return applied_offset(found);
            }
            if Instant::now() + RETRY_DELAY > self.deadline {
                return Err(self.into_failure(refusal));
            }
            std::thread::sleep(RETRY_DELAY);
        }
    }

    /// Returns an error when the record would have no effect on the log as read so far.
    fn check_applicable(&self) -> Result<(), Failure> {
        let mut trial = self.folded.fleet.clone();
        for encoded in &self.encoded {
            let next = trial.next_offset().max(1);
            if let Outcome::Rejected(reason) = trial.apply(next, encoded) {
                return Err(Failure::Refused(reason));
            }
        }
        Ok(())
    }

    /// Appends the record once, and returns the reason if the log refused it for now.
    ///
    /// # Errors
    ///
    /// Returns an error when the log will never accept the record and certainly does not hold it.
    fn append(&mut self) -> Result<Option<String>, Failure> {
        match self.folded.log().append_all(&self.encoded) {
            Ok(()) => {
                let reason = "the log accepted it, but it cannot be read";
                self.unconfirmed_reason = Some(reason.to_owned());
                Ok(None)
            }
            Err(AppendError::Refused(reason)) => Ok(Some(reason)),
            Err(AppendError::Unacceptable(reason)) if self.unconfirmed_reason.is_none() => {
                Err(Failure::Unacceptable { reason })
            }
            Err(AppendError::Unacceptable(reason) | AppendError::Unknown(reason)) => {
                self.unconfirmed_reason = Some(reason);
                Ok(None)
            }
        }
    }

    fn find_record(&mut self) -> Option<FoundRecord> {
        match self.folded.read_new_records(Some(&self.id)) {
            Ok(found) => found,
            Err(failure) => {
                self.unconfirmed_reason = Some(failure.to_string());
                None
            }
        }
    }

    fn into_failure(self, refusal: Option<String>) -> Failure {
        match self.unconfirmed_reason {
            Some(reason) => Failure::OutcomeUnknown {
                id: self.id,
                reason,
            },
            None => Failure::NotWritten {
                reason: refusal.unwrap_or_default(),
            },
        }
    }
}

fn applied_offset(found: FoundRecord) -> Result<Offset, Failure> {
    match found.outcome {
        Outcome::Applied(_) | Outcome::Incomplete | Outcome::Repeated => Ok(found.offset),
        Outcome::Rejected(reason) => Err(Failure::Refused(reason)),
    }
}
