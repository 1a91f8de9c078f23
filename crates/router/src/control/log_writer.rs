//! The thread that appends to the log.

use std::iter;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;

use cluster::Record;
use records::Log;
use telemetry::Dependency;

use crate::shared::Shared;

/// Records that wait for the log. More are dropped, since the agent repeats them.
const WAITING_RECORDS: usize = 64;

/// Length of a record from which on it is appended alone, as calls have a largest length.
const LARGE_RECORD_BYTES: usize = 16 << 10;

/// Appends records to the log.
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
    pub(crate) fn start(log: Arc<dyn Log>, shared: Arc<Shared>) -> std::io::Result<Self> {
        let (tx, rx) = sync_channel(WAITING_RECORDS);
        let builder = thread::Builder::new().name("log-writer".to_owned());
        builder.spawn(move || write(&*log, &shared, &rx))?;
        Ok(Self { tx })
    }

    /// Appends a record soon, or drops it when many wait.
    pub(crate) fn append(&self, record: Record) {
        if self.tx.try_send(record).is_err() {
            log::warn!("the log writer is behind: the record is sent again later");
        }
    }
}

/// Appends what waits together, so that a slow log service delays many records little more than one.
fn write(log: &dyn Log, shared: &Shared, rx: &Receiver<Record>) {
    while let Ok(first) = rx.recv() {
        let records = iter::once(first).chain(rx.try_iter());
        let mut batch = Vec::new();
        for record in records.take(WAITING_RECORDS) {
            let Ok(bytes) = serde_json::to_vec(&record) else {
                log::error!("record {} cannot be serialised and is dropped", record.id);
                continue;
            };
            if bytes.len() > LARGE_RECORD_BYTES {
                append(log, shared, &std::mem::take(&mut batch));
                append(log, shared, &[bytes]);
            } else {
                batch.push(bytes);
            }
        }
        append(log, shared, &batch);
    }
}

fn append(log: &dyn Log, shared: &Shared, records: &[Vec<u8>]) {
    if records.is_empty() {
        return;
    }
    shared
        .control_traffic
        .log_call(records.iter().map(Vec::len).sum());
    match log.append_all(records) {
        Ok(()) => shared.record_dependency_answer(Dependency::LogWrites, ""),
        Err(error) => {
            shared.record_dependency_failure(Dependency::LogWrites, "", &error.to_string())
        }
    }
}
