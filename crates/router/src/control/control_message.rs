//! What the control thread is told.

use cluster::Body;
use membership::CheckIn;
use membership::CheckInAnswer;
use membership::Event;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

/// What other threads tell the control thread.
#[derive(Debug)]
pub(crate) enum ControlMessage {
    /// Asks for a record to be appended. The receiver learns when it has been read back.
    Append {
        /// What the record states.
        body: Box<Body>,
        /// Told once the record is read back.
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
}

/// Sends to the control thread. What is sent after its end is lost.
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

    /// Asks for a record to be appended, and returns once it is read back.
    pub(crate) async fn append(&self, body: Body) {
        let (read_back, done) = oneshot::channel();
        let body = Box::new(body);
        self.send(ControlMessage::Append { body, read_back });
        let _ = done.await;
    }

    /// Passes a check-in to the agent, and returns the answer, or `None` when the control thread has ended.
    pub(crate) async fn check_in(&self, check_in: CheckIn) -> Option<CheckInAnswer> {
        let (answer, answered) = oneshot::channel();
        let check_in = Box::new(check_in);
        self.send(ControlMessage::CheckIn { answer, check_in });
        answered.await.ok()
    }

    fn send(&self, input: ControlMessage) {
        let _ = self.tx.send(input);
    }
}
