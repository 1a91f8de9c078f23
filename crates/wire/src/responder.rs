//! Sender of the reply to a call.

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

/// Sends the reply to one call. If it is dropped without a reply, the caller is notified that there
/// will be none.
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

    /// Waits until the caller cancels the call. A closed link does not count as a cancellation.
    pub async fn cancelled(&self) {
        self.cancelled.cancelled().await;
    }

    /// Runs a future until the caller cancels the call, and returns `None` in that case. The future of a call that was cancelled
    /// before does not begin.
    pub async fn run_until_cancelled<F: Future>(&self, future: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            () = self.cancelled() => None,
            output = future => Some(output),
        }
    }

    /// Queues the reply. Records that do not fit in the frame are omitted.
    ///
    /// # Errors
    ///
    /// Returns an error if the link is closed or the reply does not fit in a frame. The caller is then
    /// notified that its call may have run.
    pub fn reply(self, reply: impl Into<Reply>) -> Result<(), CallError> {
        if self.state.closed.is_cancelled() {
            return Err(CallError::NotSent);
        }
        let limit_bytes = self.state.max_message_bytes();
        let mut reply = reply.into();
        if let Reply::PulledRecords(pulled) = &mut reply {
            pulled.truncate_to(limit_bytes.saturating_sub(PACKET_HEADER_BYTES));
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

    /// Ends the call, and reports whether it was still open.
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
