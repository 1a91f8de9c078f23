//! The thread that writes the status of roll-outs.

use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

use telemetry::Metrics;

use crate::Environment;
use crate::control::ControlSender;
use crate::rollout::StatusJob;
use crate::shared::Shared;

/// Number of statuses that wait to be written. Further ones are dropped, since the control thread asks for them again.
const MAX_QUEUED_JOBS: usize = 16;

/// Number of times that a write is attempted before the next status gets its turn.
const MAX_ATTEMPTS: u32 = 4;

/// Delay before another attempt.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Writes the status of roll-outs on a thread of its own, since a store that does not respond must not hold anything up.
#[derive(Clone, Debug)]
pub(crate) struct StatusWriter {
    tx: SyncSender<StatusJob>,
}

impl StatusWriter {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns an error when the system cannot start a thread.
    pub(crate) fn start(
        environment: Arc<dyn Environment>,
        control: ControlSender,
        shared: Arc<Shared>,
    ) -> std::io::Result<Self> {
        let (tx, rx) = sync_channel(MAX_QUEUED_JOBS);
        let write_loop = WriteLoop {
            control,
            environment,
            shared,
        };
        let builder = thread::Builder::new().name("rollout-status".to_owned());
        builder.spawn(move || write_loop.run(&rx))?;
        Ok(Self { tx })
    }

    /// Queues a status. Reports whether it was queued.
    pub(crate) fn write(&self, job: StatusJob) -> bool {
        self.tx.try_send(job).is_ok()
    }
}

/// Writes queued statuses on its own thread.
struct WriteLoop {
    control: ControlSender,
    environment: Arc<dyn Environment>,
    shared: Arc<Shared>,
}

impl WriteLoop {
    fn run(&self, rx: &Receiver<StatusJob>) {
        while let Ok(job) = rx.recv() {
            let is_written = self.write(&job);
            self.control.report_status(job, is_written);
        }
    }

    fn write(&self, job: &StatusJob) -> bool {
        let key = format!("rollout/{}", job.service);
        let value = job.document.to_json();
        let may_replace = |current: &[u8]| job.document.may_replace(current);
        for _ in 0..MAX_ATTEMPTS {
            let result = self.environment.publish_status(&key, &value, &may_replace);
            count_result(&self.shared.metrics, &result);
            match result {
                Ok(()) => return true,
                Err(reason) => log::debug!("status of the roll-out of {key} not written: {reason}"),
            }
            thread::sleep(RETRY_DELAY);
        }
        false
    }
}

fn count_result(metrics: &Metrics, result: &Result<(), String>) {
    let outcome = if result.is_ok() { "written" } else { "failed" };
    metrics.count_event("rollout-status", outcome);
}
