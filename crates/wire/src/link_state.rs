//! State shared by the tasks and handles of a link.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use prost::Message;
use tokio::sync::mpsc::UnboundedSender;
use tokio_util::sync::CancellationToken;

use crate::Identity;
use crate::LinkSettings;
use crate::handshake::Side;
use crate::last_received::LastReceived;
use crate::mac::MAC_BYTES;
use crate::packet::Packet;
use crate::packet::PacketBody;
use crate::pending_calls::PendingCalls;

/// Upper bound on the length that a packet adds to its message, in bytes.
pub(crate) const PACKET_HEADER_BYTES: usize = 32;

/// State shared by the tasks and handles of a link.
#[derive(Debug)]
pub(crate) struct LinkState {
    pub(crate) closed: CancellationToken,
    pub(crate) last_received: LastReceived,
    pub(crate) peer: Identity,
    pub(crate) settings: LinkSettings,
    pub(crate) side: Side,
    incoming_calls: Mutex<BTreeMap<u64, CancellationToken>>,
    pending_calls: Mutex<PendingCalls>,
    queue: UnboundedSender<Packet>,
    queued_bytes: AtomicUsize,
}

impl LinkState {
    pub(crate) fn new(
        peer: Identity,
        settings: LinkSettings,
        side: Side,
        queue: UnboundedSender<Packet>,
    ) -> Self {
        Self {
            incoming_calls: Mutex::default(),
            closed: CancellationToken::new(),
            last_received: LastReceived::new(),
            peer,
            pending_calls: Mutex::default(),
            queue,
            queued_bytes: AtomicUsize::new(0),
            settings,
            side,
        }
    }

    /// Returns the calls to the peer that wait for replies.
    pub(crate) fn pending_calls(&self) -> MutexGuard<'_, PendingCalls> {
        self.pending_calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the cancellation tokens, by call id, of the calls from the peer that wait for replies.
    pub(crate) fn incoming_calls(&self) -> MutexGuard<'_, BTreeMap<u64, CancellationToken>> {
        self.incoming_calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a packet without checking the limit of the queue.
    pub(crate) fn enqueue(&self, body: PacketBody) {
        let packet = Packet::from(body);
        let bytes = packet.encoded_len();
        self.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        let _ = self.queue.send(packet);
    }

    /// Subtracts the length of a packet, in bytes, from the length of the queue.
    pub(crate) fn record_dequeued(&self, bytes: usize) {
        self.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Reports whether the length of the queue exceeds its limit.
    pub(crate) fn is_queue_full(&self) -> bool {
        self.queued_bytes.load(Ordering::Relaxed) > self.settings.max_queued_bytes
    }

    /// Returns the maximum length of a message that fits in a frame, in bytes.
    pub(crate) fn max_message_bytes(&self) -> usize {
        let max_frame_bytes = self.settings.max_frame_bytes;
        max_frame_bytes.saturating_sub(MAC_BYTES + PACKET_HEADER_BYTES)
    }
}
