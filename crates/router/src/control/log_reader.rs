//! The thread that reads the log.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use membership::Event;
use records::Batch;
use records::Log;
use records::ReadError;
use telemetry::Dependency;

use crate::control::ControlSender;
use crate::shared::Shared;

/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Largest number of records of one read.
const READ_RECORDS: usize = 1_000;

/// Reads the log and passes its records to the control thread.
pub(crate) struct LogReader {
    control: ControlSender,
    cursor: Arc<AtomicU64>,
    log: Arc<dyn Log>,
    shared: Arc<Shared>,
    /// Pause after a read with records, so that the next read finds several.
    pause: Duration,
    wait: Duration,
}

impl LogReader {
    /// Starts the thread. `cursor` is the offset to read next, which the control thread moves as well.
    ///
    /// # Errors
    ///
    /// Returns an error when the system cannot start a thread.
    pub(crate) fn start(
        control: ControlSender,
        cursor: Arc<AtomicU64>,
        log: Arc<dyn Log>,
        shared: Arc<Shared>,
        pause: Duration,
        wait: Duration,
    ) -> std::io::Result<()> {
        let reader = Self {
            control,
            cursor,
            log,
            pause,
            shared,
            wait,
        };
        let builder = thread::Builder::new().name("log-reader".to_owned());
        builder.spawn(move || reader.run())?;
        Ok(())
    }

    fn run(&self) {
        let mut wait = Duration::ZERO;
        loop {
            let from = self.cursor.load(Ordering::SeqCst).max(1);
            match self.log.read(from, READ_RECORDS, wait) {
                Ok(batch) => {
                    self.shared.record_log_read();
                    self.shared.record_dependency_answer(Dependency::Log, "");
                    let has_records = !batch.records.is_empty();
                    self.pass_on(batch);
                    if has_records {
                        thread::sleep(self.pause);
                    }
                    wait = self.wait;
                }
                Err(error) => {
                    self.report(&error);
                    // The next read tells at once whether the log is back.
                    wait = Duration::ZERO;
                }
            }
        }
    }

    fn pass_on(&self, batch: Batch) {
        let bytes = batch.records.iter().map(|stored| stored.body.len()).sum();
        self.shared.control_traffic.log_call(bytes);
        let Some(last) = batch.records.last() else {
            self.control.event(Event::LogIdle);
            return;
        };
        self.cursor.fetch_max(last.offset + 1, Ordering::SeqCst);
        let records = batch
            .records
            .into_iter()
            .map(|stored| (stored.offset, stored.body));
        self.control.event(Event::Records {
            next: batch.next,
            records: records.collect(),
        });
    }

    fn report(&self, error: &ReadError) {
        match error {
            ReadError::Expired { first } => {
                log::warn!("{error}");
                self.cursor.fetch_max(*first, Ordering::SeqCst);
                self.control.event(Event::RecordsExpired { first: *first });
            }
            ReadError::Unavailable(problem) => {
                self.shared
                    .record_dependency_failure(Dependency::Log, "", problem);
                self.control.event(Event::LogFailed);
            }
        }
        thread::sleep(RETRY_PAUSE);
    }
}
