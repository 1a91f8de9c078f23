//! The thread that reads the log.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use cluster::SnapshotReader;
use ids::Generation;
use ids::Offset;
use ids::first_offset;
use ids::generation_of;
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

/// Longest time between two checks whether a pause is to end.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

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
        let mut has_forwarded = false;
        // Generation that was read while it was the current one.
        let mut known_generation = None;
        let mut wait = Duration::ZERO;
        loop {
            let from = self.cursor.load(Ordering::SeqCst).max(1);
            match self.log.read(from, MAX_READ_RECORDS, wait) {
                Ok(batch) => {
                    self.shared.record_log_read();
                    self.shared.record_dependency_answer(Dependency::Log, "");
                    let generation = batch.generation;
                    let last = batch.records.last();
                    let is_at_end = last.is_some_and(|last| last.offset + 1 >= batch.next);
                    let is_followed = generation > generation_of(from);
                    if !is_followed {
                        known_generation = Some(generation);
                    } else if known_generation == Some(generation_of(from)) {
                        // What follows was appended by processes that do not know of the restore.
                        self.enter_next_generation(from, generation);
                        continue;
                    } else if !has_forwarded && self.has_first_state(generation) {
                        // A process that has just started needs no records of earlier generations.
                        self.enter_generation(generation);
                        continue;
                    }
                    has_forwarded = true;
                    let is_empty = batch.records.is_empty();
                    self.forward(batch, is_followed);
                    if is_followed && (is_at_end || is_empty) {
                        self.enter_next_generation(from, generation);
                    } else if is_at_end {
                        self.sleep_for_pause(generation);
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

    /// Pauses after all of the log has been read. The pause depends on the present state, which may change meanwhile.
    fn sleep_for_pause(&self, generation: Generation) {
        let started = self.shared.clock.now();
        loop {
            let elapsed = self.shared.clock.now().saturating_sub(started);
            let left = self.pause(generation).saturating_sub(elapsed);
            if left.is_zero() {
                return;
            }
            thread::sleep(left.min(PAUSE_CHECK_INTERVAL));
        }
    }

    /// Returns the pause after all of the log has been read, the shortest one until the state with which `generation` begins
    /// is known.
    fn pause(&self, generation: Generation) -> Duration {
        let view = self.shared.view();
        let fleet = &view.fleet;
        let uptime = match generation_of(fleet.next_offset()) < generation {
            true => Duration::ZERO,
            false => self.shared.clock.now(),
        };
        let members = fleet.members().len();
        self.pacing.pause(members, uptime, view.lacks_declarations)
    }

    /// Reports whether a generation begins with a complete state, as far as one read tells.
    fn has_first_state(&self, generation: Generation) -> bool {
        let start = first_offset(generation);
        match self.log.read(start, MAX_READ_RECORDS, Duration::ZERO) {
            Ok(batch) => {
                let mut reader = SnapshotReader::default();
                let mut records = batch.records.iter();
                records.any(|record| {
                    matches!(
                        reader.add(record.offset, record.body.as_bytes()),
                        Ok(Some(_))
                    )
                })
            }
            // Records expire long after the first state was written.
            Err(ReadError::Expired { .. }) => true,
            Err(ReadError::Unavailable(_)) => false,
        }
    }

    /// Continues with the latest generation that has records, or with `current` if no later one than that of `from` has any.
    fn enter_next_generation(&self, from: Offset, current: Generation) {
        let later = (generation_of(from) + 1..=current).rev();
        for generation in later {
            match self.log.read(first_offset(generation), 1, Duration::ZERO) {
                Ok(batch) if batch.records.is_empty() => {}
                Ok(_) | Err(ReadError::Expired { .. }) => {
                    self.enter_generation(generation);
                    return;
                }
                Err(error @ ReadError::Unavailable(_)) => {
                    self.handle_error(&error);
                    return;
                }
            }
        }
        self.enter_generation(current);
    }

    fn enter_generation(&self, generation: Generation) {
        log::warn!("the log was restored and continues in generation {generation}");
        self.control.send_event(Event::LogRestored { generation });
        self.cursor
            .fetch_max(first_offset(generation), Ordering::SeqCst);
    }

    /// Passes records to the control thread. `is_followed` tells that the log continues in a later generation.
    fn forward(&self, batch: Batch, is_followed: bool) {
        let bytes = batch.records.iter().map(|stored| stored.body.len()).sum();
        self.shared.control_traffic.count_log_call(bytes);
        let Some(last) = batch.records.last() else {
            if !is_followed {
                self.control.send_event(Event::LogIdle);
            }
            return;
        };
        let next = match is_followed {
            true => first_offset(batch.generation),
            false => batch.next,
        };
        self.cursor.fetch_max(last.offset + 1, Ordering::SeqCst);
        let records = batch
            .records
            .into_iter()
            .map(|stored| (stored.offset, stored.body));
        self.control.send_event(Event::Records {
            next,
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
