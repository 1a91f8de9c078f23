//! Cleanup of calls that end without a reply.

use std::sync::Arc;

use crate::Cancel;
use crate::Notice;
use crate::link_state::LinkState;
use crate::packet::NoticePacket;
use crate::packet::PacketBody;

/// Abandons a pending call when it is dropped before the reply arrives. If the call was sent, the
/// peer is notified that the caller no longer waits.
pub(crate) struct CallGuard {
    request_id: Option<String>,
    id: u64,
    state: Arc<LinkState>,
}

impl CallGuard {
    pub(crate) fn new(state: Arc<LinkState>, id: u64, request_id: Option<String>) -> Self {
        Self {
            request_id,
            id,
            state,
        }
    }

    /// Abandons the call. Returns true if it was sent or has already ended.
    pub(crate) fn abandon(mut self) -> bool {
        self.abandon_call()
    }

    fn abandon_call(&mut self) -> bool {
        let sent = self.state.pending_calls().abandon(self.id);
        if sent == Some(true) {
            self.state.enqueue(PacketBody::Abandon(self.id));
            self.send_cancel();
        }
        sent != Some(false)
    }

    fn send_cancel(&mut self) {
        let Some(request_id) = self.request_id.take() else {
            return;
        };
        let notice = Some(Notice::Cancel(Cancel { request_id }));
        self.state
            .enqueue(PacketBody::Notice(NoticePacket { notice }));
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.abandon_call();
    }
}
