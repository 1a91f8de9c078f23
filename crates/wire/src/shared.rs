//! State that the tasks and handles of a link share.

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
use crate::heard::Heard;
use crate::mac::MAC_BYTES;
use crate::packet::Packet;
use crate::packet::PacketBody;
use crate::pending::Pending;

/// Upper bound of what a packet adds to the message that it carries, in bytes.
pub(crate) const PACKET_HEADER_BYTES: usize = 32;

/// State of a link.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) closed: CancellationToken,
    pub(crate) heard: Heard,
    pub(crate) peer: Identity,
    pub(crate) settings: LinkSettings,
    pub(crate) side: Side,
    answering: Mutex<BTreeMap<u64, CancellationToken>>,
    pending: Mutex<Pending>,
    queue: UnboundedSender<Packet>,
    queued_bytes: AtomicUsize,
}

impl Shared {
    pub(crate) fn new(
        peer: Identity,
        settings: LinkSettings,
        side: Side,
        queue: UnboundedSender<Packet>,
    ) -> Self {
        Self {
            answering: Mutex::default(),
            closed: CancellationToken::new(),
            heard: Heard::new(),
            peer,
            pending: Mutex::default(),
            queue,
            queued_bytes: AtomicUsize::new(0),
            settings,
            side,
        }
    }

    /// Returns the calls of this process that wait for replies.
    pub(crate) fn pending(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the calls of the peer that wait for replies.
    pub(crate) fn answering(&self) -> MutexGuard<'_, BTreeMap<u64, CancellationToken>> {
        self.answering
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a packet, whatever waits before it.
    pub(crate) fn send(&self, body: PacketBody) {
        let packet = Packet::from(body);
        let bytes = packet.encoded_len();
        self.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        let _ = self.queue.send(packet);
    }

    /// Takes a packet out of the account of the queue.
    pub(crate) fn sent(&self, packet: &Packet) {
        let bytes = packet.encoded_len();
        self.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Tells whether too much waits to be sent.
    pub(crate) fn is_full(&self) -> bool {
        self.queued_bytes.load(Ordering::Relaxed) > self.settings.max_queued_bytes
    }

    /// Returns the length of the longest message that fits a frame, in bytes.
    pub(crate) fn max_message_bytes(&self) -> usize {
        let max_frame_bytes = self.settings.max_frame_bytes;
        max_frame_bytes.saturating_sub(MAC_BYTES + PACKET_HEADER_BYTES)
    }
}
