//! What arrives from a peer.

use crate::Call;
use crate::Notice;
use crate::Responder;

/// A call or a notice of the peer.
#[derive(Debug)]
pub enum IncomingMessage {
    /// The peer waits for a reply.
    Call {
        /// What the peer asks.
        call: Call,
        /// Sends the reply.
        responder: Responder,
    },
    /// The peer states something.
    Notice(Notice),
}
