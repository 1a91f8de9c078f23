//! Receiver of the messages of a link.

use std::sync::Arc;

use tokio::sync::mpsc::Receiver;
use tokio_util::sync::DropGuard;

use crate::IncomingMessage;

/// Receives the calls and notices from a peer.
#[derive(Debug)]
pub struct IncomingMessages {
    _guard: Arc<DropGuard>,
    rx: Receiver<IncomingMessage>,
}

impl IncomingMessages {
    pub(crate) fn new(rx: Receiver<IncomingMessage>, guard: Arc<DropGuard>) -> Self {
        Self { _guard: guard, rx }
    }

    /// Returns the next call or notice, or `None` once the link is closed and all received messages
    /// were returned.
    pub async fn recv(&mut self) -> Option<IncomingMessage> {
        self.rx.recv().await
    }
}
