//! The thread that reads the log.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use membership::Event;
use membership::ReadPacing;
use records::Batch;
use records::Log;
use records::ReadError;
use telemetry::Dependency;

use crate::control::ControlSender;
use crate::shared::Shared;

/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum number of records of one read.
const MAX_READ_RECORDS: usize = 1_000;

/// Reads the log and passes its records to the control thread.
pub(crate) struct LogReader {
    control: ControlSender,
    cursor: Arc<AtomicU64>,
    log: Arc<dyn Log>,
    shared: Arc<Shared>,
    pacing: ReadPacing,
    wait: Duration,
}

impl LogReader {
    /// Starts the thread. `cursor` is the next offset to read, which the control thread advances as well.
    ///
    /// # Errors
    ///
    /// Returns an error when the system cannot start a thread.
    pub(crate) fn start(
        control: ControlSender,
        cursor: Arc<AtomicU64>,
        log: Arc<dyn Log>,
        shared: Arc<Shared>,
        pacing: ReadPacing,
        wait: Duration,
    ) -> std::io::Result<()> {
        let reader = Self {
            control,
            cursor,
            log,
            pacing,
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
            match self.log.read(from, MAX_READ_RECORDS, wait) {
                Ok(batch) => {
                    self.shared.record_log_read();
                    self.shared.record_dependency_answer(Dependency::Log, "");
                    let last = batch.records.last();
                    let is_at_end = last.is_some_and(|last| last.offset + 1 >= batch.next);
                    self.forward(batch);
                    if is_at_end {
                        let members = self.shared.view().fleet.members().len();
                        let uptime = self.shared.clock.now();
                        thread::sleep(self.pacing.pause(members, uptime));
                    }
                    wait = self.wait;
                }
                Err(error) => {
                    self.handle_error(&error);
                    // The next read does not wait for records, so that it shows at once whether the log is available.
                    wait = Duration::ZERO;
                }
            }
        }
    }

    fn forward(&self, batch: Batch) {
        let bytes = batch.records.iter().map(|stored| stored.body.len()).sum();
        self.shared.control_traffic.count_log_call(bytes);
        let Some(last) = batch.records.last() else {
            self.control.send_event(Event::LogIdle);
            return;
        };
        self.cursor.fetch_max(last.offset + 1, Ordering::SeqCst);
        let records = batch
            .records
            .into_iter()
            .map(|stored| (stored.offset, stored.body));
        self.control.send_event(Event::Records {
            next: batch.next,
            records: records.collect(),
        });
    }

    fn handle_error(&self, error: &ReadError) {
        match error {
            ReadError::Expired { first } => {
                log::warn!("{error}");
                self.cursor.fetch_max(*first, Ordering::SeqCst);
                self.control
                    .send_event(Event::RecordsExpired { first: *first });
            }
            ReadError::Unavailable(problem) => {
                self.shared
                    .record_dependency_failure(Dependency::Log, "", problem);
                self.control.send_event(Event::LogFailed);
            }
        }
        thread::sleep(RETRY_DELAY);
    }
}
