//! Records that other threads append, until they are read back.

use std::collections::BTreeMap;
use std::time::Duration;

use cluster::Record;
use ids::RecordId;
use tokio::sync::oneshot;

/// Time after which a record that has not been read back from the log is appended again.
const APPEND_RETRY: Duration = Duration::from_millis(1_000);

/// Records that other threads append and that have not been read back from the log.
#[derive(Debug, Default)]
pub(crate) struct UnconfirmedAppends {
    appends: BTreeMap<RecordId, UnconfirmedAppend>,
}

#[derive(Debug)]
struct UnconfirmedAppend {
    read_back: oneshot::Sender<()>,
    record: Record,
    sent: Duration,
}

impl UnconfirmedAppends {
    /// Adds a record that is appended at `now`. `read_back` gets a message once it is read back.
    pub(crate) fn add(&mut self, now: Duration, record: Record, read_back: oneshot::Sender<()>) {
        let id = record.id.clone();
        let append = UnconfirmedAppend {
            read_back,
            record,
            sent: now,
        };
        self.appends.insert(id, append);
    }

    /// Records that a record was read back.
    pub(crate) fn confirm(&mut self, id: &RecordId) {
        if let Some(append) = self.appends.remove(id) {
            let _ = append.read_back.send(());
        }
    }

    /// Drops a record that the log will never accept.
    pub(crate) fn reject(&mut self, id: &RecordId) {
        self.appends.remove(id);
    }

    /// Returns the records that are to be appended again, without those that nobody waits for any more.
    pub(crate) fn due(&mut self, now: Duration) -> Vec<Record> {
        self.appends
            .retain(|_, append| !append.read_back.is_closed());
        let mut due = Vec::new();
        for append in self.appends.values_mut() {
            if now.saturating_sub(append.sent) >= APPEND_RETRY {
                append.sent = now;
                due.push(append.record.clone());
            }
        }
        due
    }
}
