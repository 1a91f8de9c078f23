//! A call whose caller waits.

use std::sync::Arc;

use crate::Cancel;
use crate::Notice;
use crate::link_state::LinkState;
use crate::packet::NoticePacket;
use crate::packet::PacketBody;

/// Tells the peer, when it is dropped before the reply, that nobody waits for it.
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

    /// Gives up the call, and returns whether it was sent.
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
