//! The thread that appends to the log.

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

fn write(log: &dyn Log, shared: &Shared, rx: &Receiver<Record>) {
    while let Ok(record) = rx.recv() {
        let Ok(bytes) = serde_json::to_vec(&record) else {
            log::error!("record {} cannot be serialised and is dropped", record.id);
            continue;
        };
        shared.control_traffic.log_call(bytes.len());
        match log.append(&bytes) {
            Ok(_) => shared.regained(Dependency::LogWrites, ""),
            Err(error) => shared.lost(Dependency::LogWrites, "", &error.to_string()),
        }
    }
}
