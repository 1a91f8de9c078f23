//! The interface to the log service.

use std::time::Duration;

use ids::Offset;

use crate::AppendError;
use crate::Batch;
use crate::ReadError;

/// An append-only log. Calls block, and are made from threads of their own. Offsets begin at 1.
pub trait Log: Send + Sync + 'static {
    /// Appends one record. The record is certain to be in the log only once it is read back.
    ///
    /// # Errors
    ///
    /// Returns whether the record is certainly not in the log or may be.
    fn append(&self, record: &[u8]) -> Result<Offset, AppendError>;

    /// Appends several records in their order, in one call where the log service has that.
    ///
    /// # Errors
    ///
    /// Returns whether the records are certainly not in the log or some of them may be.
    fn append_all(&self, records: &[Vec<u8>]) -> Result<(), AppendError> {
        for record in records {
            self.append(record)?;
        }
        Ok(())
    }

    /// Reads up to `max` records from `from` on, and waits up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Expired`] when the log no longer keeps `from`.
    fn read(&self, from: Offset, max: usize, wait: Duration) -> Result<Batch, ReadError>;
}
