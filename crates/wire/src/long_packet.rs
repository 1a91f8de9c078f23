//! A long packet that is written in parts.

use std::time::Instant;

use bytes::Bytes;
use prost::Message;

use crate::packet::Packet;
use crate::packet::PacketBody;
use crate::packet::PartEnd;
use crate::packet::PartPacket;

/// Maximum length of a part, in bytes. A link of 10 Mbit/s sends it in 7 ms.
pub(crate) const PART_BYTES: usize = 8 << 10;

/// A long request or response that is written in parts, so that short packets do not wait for all of it.
pub(crate) struct LongPacket {
    /// The call that the packet requests, `None` for a response.
    call_id: Option<u64>,
    is_begun: bool,
    queued_at: Instant,
    /// Length of the packet when it was queued, in bytes.
    queued_bytes: usize,
    remaining: Bytes,
}

impl LongPacket {
    /// Returns a packet in this form if it is long and its place among other packets does not matter.
    pub(crate) fn split(packet: &Packet) -> Option<Self> {
        let call_id = match &packet.body {
            Some(PacketBody::Request(request)) => Some(request.id),
            Some(PacketBody::Response(_)) => None,
            _ => return None,
        };
        let queued_bytes = packet.encoded_len();
        (queued_bytes > PART_BYTES).then(|| Self {
            call_id,
            is_begun: false,
            queued_at: Instant::now(),
            queued_bytes,
            remaining: packet.encode_to_vec().into(),
        })
    }

    pub(crate) fn call_id(&self) -> Option<u64> {
        self.call_id
    }

    pub(crate) fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }

    /// Reports whether only one part remains.
    pub(crate) fn is_at_last_part(&self) -> bool {
        self.remaining.len() <= PART_BYTES
    }

    /// Removes and returns the next part.
    pub(crate) fn next_part(&mut self) -> PartPacket {
        let is_last = self.is_at_last_part();
        let length = PART_BYTES.min(self.remaining.len());
        let end = if is_last {
            PartEnd::Complete
        } else {
            PartEnd::More
        };
        let waited = self.queued_at.elapsed().as_millis();
        self.is_begun = true;
        PartPacket {
            bytes: self.remaining.split_to(length),
            end: end.into(),
            waited_ms: if is_last {
                u64::try_from(waited).unwrap_or(u64::MAX)
            } else {
                0
            },
        }
    }

    /// Returns the packet that makes the receiver drop the parts that it has, or `None` if it has none.
    pub(crate) fn drop_part(&self) -> Option<PartPacket> {
        self.is_begun.then(|| PartPacket {
            end: PartEnd::Dropped.into(),
            ..PartPacket::default()
        })
    }
}
