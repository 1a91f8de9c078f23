//! Messages received from a peer.

use crate::Call;
use crate::Notice;
use crate::Responder;

/// A call or a notice from the peer.
#[derive(Debug)]
pub enum IncomingMessage {
    /// A call, to which the peer expects a reply.
    Call {
        /// The call.
        call: Call,
        /// Sends the reply.
        responder: Responder,
    },
    /// A notice, which has no reply.
    Notice(Notice),
}
