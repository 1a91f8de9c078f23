//! Messages to the control thread.

use cluster::Body;
use membership::CheckIn;
use membership::CheckInAnswer;
use membership::Event;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::rollout::StatusJob;

/// A message from another thread to the control thread.
#[derive(Debug)]
pub(crate) enum ControlMessage {
    /// Requests that a record is appended to the log.
    Append {
        /// Body of the record.
        body: Box<Body>,
        /// Signalled once the record has been read back from the log.
        read_back: oneshot::Sender<()>,
    },
    /// A check-in of the local upstream.
    CheckIn {
        /// Receives the answer.
        answer: oneshot::Sender<CheckInAnswer>,
        /// The check-in.
        check_in: Box<CheckIn>,
    },
    /// An event for the agent.
    Event(Event),
    /// A status of a roll-out was written, or not.
    StatusWritten {
        /// Whether it was written.
        is_written: bool,
        /// The status.
        job: Box<StatusJob>,
    },
}

/// Sends messages to the control thread. Messages sent after the thread has ended are dropped.
#[derive(Clone, Debug)]
pub(crate) struct ControlSender {
    tx: UnboundedSender<ControlMessage>,
}

impl ControlSender {
    pub(crate) fn new(tx: UnboundedSender<ControlMessage>) -> Self {
        Self { tx }
    }

    /// Passes an event to the agent.
    pub(crate) fn send_event(&self, event: Event) {
        self.send(ControlMessage::Event(event));
    }

    /// Reports whether a status of a roll-out was written.
    pub(crate) fn report_status(&self, job: StatusJob, is_written: bool) {
        let job = Box::new(job);
        self.send(ControlMessage::StatusWritten { is_written, job });
    }

    /// Requests that a record is appended, and returns once it has been read back from the log.
    pub(crate) async fn append(&self, body: Body) {
        let (read_back, done) = oneshot::channel();
        let body = Box::new(body);
        self.send(ControlMessage::Append { body, read_back });
        let _ = done.await;
    }

    /// Passes a check-in to the agent and returns the answer, or `None` if the control thread has ended.
    pub(crate) async fn check_in(&self, check_in: CheckIn) -> Option<CheckInAnswer> {
        let (answer, answered) = oneshot::channel();
        let check_in = Box::new(check_in);
        self.send(ControlMessage::CheckIn { answer, check_in });
        answered.await.ok()
    }

    fn send(&self, message: ControlMessage) {
        let _ = self.tx.send(message);
    }
}
