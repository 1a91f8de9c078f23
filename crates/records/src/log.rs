//! Interface of the log.

use std::time::Duration;

use ids::Offset;

use crate::AppendError;
use crate::Batch;
use crate::ReadError;

/// An append-only log. Calls block and must be made from dedicated threads. Offsets start at 1.
///
/// A log that was restored from a backup continues in a new generation, which is empty at first.
pub trait Log: Send + Sync + 'static {
    /// Appends one record. It is certain that the record is in the log only once it is read back.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the record is certainly not in the log or may be in it.
    fn append(&self, record: &[u8]) -> Result<Offset, AppendError>;

    /// Appends several records in order, in one call if the log service supports it.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the records are certainly not in the log or some of them
    /// may be in it.
    fn append_all(&self, records: &[Vec<u8>]) -> Result<(), AppendError> {
        for record in records {
            self.append(record)?;
        }
        Ok(())
    }

    /// Reads up to `max` records of one generation, starting at offset `from`, and waits up to `wait` for the first.
    /// Appends then go to the latest generation that was read from.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Expired`] if the log no longer keeps the record at `from`, and
    /// [`ReadError::Unavailable`] if the log cannot be read.
    fn read(&self, from: Offset, max: usize, wait: Duration) -> Result<Batch, ReadError>;

    /// Ends the reads that have waited for records for `age` or longer, because the log is known to hold records that
    /// they should have returned. They fail with [`ReadError::Unavailable`]. Returns their number.
    ///
    /// A log whose reads cannot be lost need not do anything.
    fn end_overdue_reads(&self, _age: Duration) -> usize {
        0
    }
}
