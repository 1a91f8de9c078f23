//! Calls to the peer that wait for replies.

use std::collections::BTreeMap;
use std::time::Instant;

use tokio::sync::oneshot;

use crate::CallError;
use crate::Reply;

/// Result of a call.
pub(crate) type CallResult = Result<Reply, CallError>;

/// Calls to the peer that wait for replies, by id.
#[derive(Debug, Default)]
pub(crate) struct PendingCalls {
    /// Start of the oldest sent call that was abandoned, or `None` if a frame has arrived since.
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
    /// Adds a call and returns its id and the receiver of its result, or `None` if the link is closed.
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

    /// Returns the start of the oldest call that waits, or that was abandoned since the last frame
    /// arrived.
    pub(crate) fn waiting_since(&self) -> Option<Instant> {
        let waiting = self.calls.values().next().map(|call| call.started);
        waiting.into_iter().chain(self.abandoned_since).min()
    }

    /// Records that a frame has arrived from the peer.
    pub(crate) fn record_frame(&mut self) {
        self.abandoned_since = None;
    }

    /// Marks a call as sent right before it is written, and reports whether it still waits.
    pub(crate) fn mark_sent(&mut self, id: u64) -> bool {
        match self.calls.get_mut(&id) {
            Some(call) => {
                call.sent = true;
                true
            }
            None => false,
        }
    }

    /// Reports whether a call still waits for its reply.
    pub(crate) fn is_waiting(&self, id: u64) -> bool {
        self.calls.contains_key(&id)
    }

    /// Completes a call. The result is dropped if the call no longer waits.
    pub(crate) fn finish(&mut self, id: u64, result: CallResult) {
        if let Some(call) = self.calls.remove(&id) {
            let _ = call.tx.send(result);
        }
    }

    /// Removes a call, and returns whether it was sent, or `None` if it has already ended.
    pub(crate) fn abandon(&mut self, id: u64) -> Option<bool> {
        let call = self.calls.remove(&id)?;
        if call.sent {
            self.abandoned_since.get_or_insert(call.started);
        }
        Some(call.sent)
    }

    /// Fails all calls, and rejects calls that are added later.
    pub(crate) fn close(&mut self) {
        self.closed = true;
        for call in std::mem::take(&mut self.calls).into_values() {
            let _ = call.tx.send(Err(no_reply_error(call.sent)));
        }
    }
}

/// Returns the error of a call that ended without a reply.
pub(crate) fn no_reply_error(sent: bool) -> CallError {
    if sent {
        CallError::Unknown
    } else {
        CallError::NotSent
    }
}
