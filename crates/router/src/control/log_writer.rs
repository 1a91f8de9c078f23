//! The thread that appends to the log.

use std::iter;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;

use cluster::Record;
use membership::Event;
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
        let builder = thread::Builder::new().name("log-writer".to_owned());
        builder.spawn(move || run(&*log, limits, &shared, &control, &rx))?;
        Ok(Self { tx })
    }

    /// Queues a record to be appended, or drops it if the queue is full.
    pub(crate) fn append(&self, record: Record) {
        if self.tx.try_send(record).is_err() {
            log::warn!("the append queue is full: the record is dropped and appended again later");
        }
    }
}

/// Appends queued records in batches, so that many records take little longer than one when the log service is slow.
fn run(
    log: &dyn Log,
    limits: AppendLimits,
    shared: &Shared,
    control: &ControlSender,
    rx: &Receiver<Record>,
) {
    while let Ok(first) = rx.recv() {
        let records = iter::once(first).chain(rx.try_iter());
        let mut batch = Vec::new();
        for record in records.take(MAX_QUEUED_RECORDS) {
            let Ok(encoded) = record.encode(limits.record_bytes) else {
                log::error!("record {} cannot be serialised and is dropped", record.id);
                continue;
            };
            if encoded.iter().map(Vec::len).sum::<usize>() > MAX_BATCHED_RECORD_BYTES {
                append_batch(log, shared, control, &std::mem::take(&mut batch));
                for call in split_by_size(&encoded, limits.call_bytes) {
                    append_batch(log, shared, control, call);
                }
            } else {
                batch.extend(encoded);
            }
        }
        append_batch(log, shared, control, &batch);
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

fn append_batch(log: &dyn Log, shared: &Shared, control: &ControlSender, records: &[Vec<u8>]) {
    if records.is_empty() {
        return;
    }
    shared
        .control_traffic
        .count_log_call(records.iter().map(Vec::len).sum());
    match log.append_all(records) {
        Ok(()) => {
            shared.record_dependency_answer(Dependency::LogWrites, "");
            control.send_event(Event::Appended);
        }
        Err(error) => {
            shared.record_dependency_failure(Dependency::LogWrites, "", &error.to_string())
        }
    }
}
