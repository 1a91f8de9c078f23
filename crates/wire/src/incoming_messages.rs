//! The receiving end of a link.

use std::sync::Arc;

use tokio::sync::mpsc::Receiver;
use tokio_util::sync::DropGuard;

use crate::IncomingMessage;

/// Receives the calls and notices of a peer.
#[derive(Debug)]
pub struct IncomingMessages {
    _guard: Arc<DropGuard>,
    rx: Receiver<IncomingMessage>,
}

impl IncomingMessages {
    pub(crate) fn new(rx: Receiver<IncomingMessage>, guard: Arc<DropGuard>) -> Self {
        Self { _guard: guard, rx }
    }

    /// Returns the next call or notice, or `None` when the link is closed and nothing is left.
    pub async fn recv(&mut self) -> Option<IncomingMessage> {
        self.rx.recv().await
    }
}
