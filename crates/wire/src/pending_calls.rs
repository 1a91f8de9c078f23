//! Calls that wait for their replies.

use std::collections::BTreeMap;
use std::time::Instant;

use tokio::sync::oneshot;

use crate::CallError;
use crate::Reply;

/// Result of a call.
pub(crate) type CallResult = Result<Reply, CallError>;

/// Calls of this process that wait for their replies.
#[derive(Debug, Default)]
pub(crate) struct PendingCalls {
    /// Time since which the oldest call waited that was given up without a frame from the peer since.
    abandoned_since: Option<Instant>,
    calls: BTreeMap<u64, PendingCall>,
    closed: bool,
    next_id: u64,
}

#[derive(Debug)]
struct PendingCall {
    sent: bool,
    started: Instant,
    tx: oneshot::Sender<CallResult>,
}

impl PendingCalls {
    /// Adds a call, or returns `None` when the link is closed.
    pub(crate) fn add(&mut self) -> Option<(u64, oneshot::Receiver<CallResult>)> {
        if self.closed {
            return None;
        }
        let (tx, rx) = oneshot::channel();
        let id = self.next_id;
        self.next_id += 1;
        let call = PendingCall {
            sent: false,
            started: Instant::now(),
            tx,
        };
        self.calls.insert(id, call);
        Some((id, rx))
    }

    /// Returns the time since which the oldest call waits, or waited when it was given up unanswered.
    pub(crate) fn waiting_since(&self) -> Option<Instant> {
        let waiting = self.calls.values().next().map(|call| call.started);
        waiting.into_iter().chain(self.abandoned_since).min()
    }

    /// Notes that a frame of the peer has arrived.
    pub(crate) fn record_frame(&mut self) {
        self.abandoned_since = None;
    }

    /// Notes that a call is about to be written, and tells whether it still waits.
    pub(crate) fn mark_sent(&mut self, id: u64) -> bool {
        match self.calls.get_mut(&id) {
            Some(call) => {
                call.sent = true;
                true
            }
            None => false,
        }
    }

    /// Ends a call with its result. A result that nobody waits for is dropped.
    pub(crate) fn finish(&mut self, id: u64, result: CallResult) {
        if let Some(call) = self.calls.remove(&id) {
            let _ = call.tx.send(result);
        }
    }

    /// Removes a call that nobody waits for, and returns whether it was sent, or `None` when it is over.
    pub(crate) fn abandon(&mut self, id: u64) -> Option<bool> {
        let call = self.calls.remove(&id)?;
        if call.sent {
            self.abandoned_since.get_or_insert(call.started);
        }
        Some(call.sent)
    }

    /// Ends all calls, and takes no more.
    pub(crate) fn close(&mut self) {
        self.closed = true;
        for call in std::mem::take(&mut self.calls).into_values() {
            let _ = call.tx.send(Err(no_reply_error(call.sent)));
        }
    }
}

/// Returns why a call without a reply failed.
pub(crate) fn no_reply_error(sent: bool) -> CallError {
    if sent {
        CallError::Unknown
    } else {
        CallError::NotSent
    }
}
