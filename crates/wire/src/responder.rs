//! The reply to a call.

use std::sync::Arc;

use prost::Message;
use tokio_util::sync::CancellationToken;

use crate::CallError;
use crate::Reply;
use crate::link_state::LinkState;
use crate::link_state::PACKET_HEADER_BYTES;
use crate::packet::Failure;
use crate::packet::PacketBody;
use crate::packet::ResponsePacket;

/// Sends the reply to one call. When it is dropped without a reply, the caller learns that there will be none.
#[derive(Debug)]
pub struct Responder {
    cancelled: CancellationToken,
    id: u64,
    state: Arc<LinkState>,
}

impl Responder {
    pub(crate) fn new(state: Arc<LinkState>, id: u64, cancelled: CancellationToken) -> Self {
        Self {
            cancelled,
            id,
            state,
        }
    }

    /// Waits until the caller states that it does not wait any more. A link that closes is no such statement.
    pub async fn cancelled(&self) {
        self.cancelled.cancelled().await;
    }

    /// Queues the reply. Records that do not fit a frame are left out.
    ///
    /// # Errors
    ///
    /// Returns an error when the link is closed or the reply is longer than a frame. The caller then learns that its
    /// call may have been carried out.
    pub fn reply(self, reply: impl Into<Reply>) -> Result<(), CallError> {
        if self.state.closed.is_cancelled() {
            return Err(CallError::NotSent);
        }
        let limit_bytes = self.state.max_message_bytes();
        let mut reply = reply.into();
        if let Reply::PulledRecords(pulled) = &mut reply {
            pulled.shorten(limit_bytes.saturating_sub(PACKET_HEADER_BYTES));
        }
        let packet = ResponsePacket {
            id: self.id,
            failure: Failure::None.into(),
            reply: Some(reply),
        };
        let actual_bytes = packet.encoded_len();
        if actual_bytes > limit_bytes {
            return Err(CallError::TooLarge {
                actual_bytes,
                limit_bytes,
            });
        }
        if self.finish() {
            self.state.enqueue(PacketBody::Response(packet));
        }
        Ok(())
    }

    /// Ends the call, and tells whether it had not ended yet.
    fn finish(&self) -> bool {
        self.state.incoming_calls().remove(&self.id).is_some()
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        if self.finish() {
            self.state.enqueue(PacketBody::Response(ResponsePacket {
                id: self.id,
                failure: Failure::Abandoned.into(),
                reply: None,
            }));
        }
    }
}
