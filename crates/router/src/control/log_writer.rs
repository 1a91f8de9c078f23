//! The thread that appends to the log.

use std::iter;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;

use cluster::Record;
use ids::RecordId;
use membership::Event;
use records::AppendError;
use records::AppendLimits;
use records::Log;
use telemetry::Dependency;

use crate::control::ControlSender;
use crate::shared::Shared;

/// Capacity of the append queue. Further records are dropped, since unconfirmed records are appended again.
const MAX_QUEUED_RECORDS: usize = 64;

/// Longest record that is appended together with others. Longer ones are appended alone, since calls have a maximum
/// length.
const MAX_BATCHED_RECORD_BYTES: usize = 16 << 10;

/// Appends records to the log on a thread of its own.
#[derive(Clone, Debug)]
pub(crate) struct LogWriter {
    tx: SyncSender<Record>,
}

impl LogWriter {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns an error when the system cannot start a thread.
    pub(crate) fn start(
        log: Arc<dyn Log>,
        limits: AppendLimits,
        shared: Arc<Shared>,
        control: ControlSender,
    ) -> std::io::Result<Self> {
        let (tx, rx) = sync_channel(MAX_QUEUED_RECORDS);
        let append_loop = AppendLoop {
            control,
            limits,
            log,
            shared,
        };
        let builder = thread::Builder::new().name("log-writer".to_owned());
        builder.spawn(move || append_loop.run(&rx))?;
        Ok(Self { tx })
    }

    /// Queues a record to be appended, or drops it if the queue is full.
    pub(crate) fn append(&self, record: Record) {
        if self.tx.try_send(record).is_err() {
            log::warn!("the append queue is full: the record is dropped and appended again later");
        }
    }
}

/// Appends queued records on its own thread.
struct AppendLoop {
    control: ControlSender,
    limits: AppendLimits,
    log: Arc<dyn Log>,
    shared: Arc<Shared>,
}

/// Short records that are appended in one call, with their ids in the same order.
#[derive(Default)]
struct Batch {
    ids: Vec<RecordId>,
    records: Vec<Vec<u8>>,
}

impl AppendLoop {
    /// Appends queued records in batches, so that many records take little longer than one when the log service is slow.
    fn run(&self, rx: &Receiver<Record>) {
        while let Ok(first) = rx.recv() {
            let records = iter::once(first).chain(rx.try_iter());
            let mut batch = Batch::default();
            for record in records.take(MAX_QUEUED_RECORDS) {
                let Ok(parts) = record.encode(self.limits.record_bytes) else {
                    log::error!("record {} cannot be serialised and is dropped", record.id);
                    continue;
                };
                if parts.iter().map(Vec::len).sum::<usize>() > MAX_BATCHED_RECORD_BYTES {
                    self.append_batch(&std::mem::take(&mut batch));
                    self.append_alone(&record.id, &parts);
                } else {
                    batch.ids.extend(parts.iter().map(|_| record.id.clone()));
                    batch.records.extend(parts);
                }
            }
            self.append_batch(&batch);
        }
    }

    /// Appends short records in one call.
    fn append_batch(&self, batch: &Batch) {
        match &batch.ids[..] {
            [] => {}
            [id] => self.append_alone(id, &batch.records),
            ids => {
                let result = self.append(&batch.records);
                if matches!(result, Err(AppendError::Unacceptable(_))) {
                    // One of the records is the cause. The others must not be given up with it.
                    for (id, record) in ids.iter().zip(&batch.records) {
                        self.append_alone(id, std::slice::from_ref(record));
                    }
                }
            }
        }
    }

    /// Appends one record, in as few calls as possible.
    fn append_alone(&self, id: &RecordId, parts: &[Vec<u8>]) {
        for call in split_by_size(parts, self.limits.call_bytes) {
            match self.append(call) {
                Ok(()) => {}
                Err(AppendError::Unacceptable(reason)) => {
                    let id = id.clone();
                    let event = Event::AppendRejected { id, reason };
                    self.control.send_event(event);
                    return;
                }
                Err(_) => return,
            }
        }
    }

    fn append(&self, records: &[Vec<u8>]) -> Result<(), AppendError> {
        let bytes = records.iter().map(Vec::len).sum();
        self.shared.control_traffic.count_log_call(bytes);
        let result = self.log.append_all(records);
        match &result {
            Ok(()) => {
                self.shared
                    .record_dependency_answer(Dependency::LogWrites, "");
                self.control.send_event(Event::Appended);
            }
            Err(error) => {
                let reason = error.to_string();
                self.shared
                    .record_dependency_failure(Dependency::LogWrites, "", &reason);
            }
        }
        result
    }
}

/// Divides records into calls of less than `max_bytes` each.
fn split_by_size(records: &[Vec<u8>], max_bytes: usize) -> Vec<&[Vec<u8>]> {
    let mut calls = Vec::new();
    let mut start = 0;
    let mut bytes = 0;
    for (index, record) in records.iter().enumerate() {
        if index > start && bytes + record.len() >= max_bytes {
            calls.push(&records[start..index]);
            start = index;
            bytes = 0;
        }
        bytes += record.len();
    }
    calls.push(&records[start..]);
    calls
}
