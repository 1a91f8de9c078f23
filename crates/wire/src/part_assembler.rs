//! Assembly of long packets from their parts.

use bytes::Bytes;
use bytes::BytesMut;
use prost::Message;

use crate::Call;
use crate::packet::Packet;
use crate::packet::PacketBody;
use crate::packet::PartEnd;
use crate::packet::PartPacket;
use crate::packet::RequestPacket;

/// Assembles long packets from their parts, one at a time.
#[derive(Debug)]
pub(crate) struct PartAssembler {
    max_bytes: usize,
    received: BytesMut,
}

/// Result of adding a part.
#[derive(Debug, PartialEq)]
pub(crate) enum AssemblyResult {
    /// The packet is complete.
    Complete(PacketBody),
    /// The packet is not complete, or its sender has dropped it.
    Incomplete,
    /// The packet is longer than allowed, or cannot be decoded.
    Malformed,
}

impl PartAssembler {
    /// Creates an assembler of packets of at most `max_bytes` bytes.
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            received: BytesMut::new(),
        }
    }

    /// Adds a part to the packet that is being assembled.
    pub(crate) fn add(&mut self, part: &PartPacket) -> AssemblyResult {
        if self.received.len() + part.bytes.len() > self.max_bytes {
            return AssemblyResult::Malformed;
        }
        self.received.extend_from_slice(&part.bytes);
        match part.end() {
            PartEnd::More => AssemblyResult::Incomplete,
            PartEnd::Dropped => {
                self.received = BytesMut::new();
                AssemblyResult::Incomplete
            }
            PartEnd::Complete => {
                let encoded = std::mem::take(&mut self.received).freeze();
                decode(encoded, part.waited_ms)
            }
        }
    }
}

fn decode(encoded: Bytes, waited_ms: u64) -> AssemblyResult {
    let packet = Packet::decode(encoded).ok();
    match packet.and_then(|packet| packet.body) {
        Some(PacketBody::Part(_)) | None => AssemblyResult::Malformed,
        Some(mut body) => {
            subtract_wait(&mut body, waited_ms);
            AssemblyResult::Complete(body)
        }
    }
}

/// Subtracts the time that a dispatch has waited at its sender from the time that is left for it.
fn subtract_wait(body: &mut PacketBody, waited_ms: u64) {
    if let PacketBody::Request(RequestPacket {
        call: Some(Call::Dispatch(dispatch)),
        ..
    }) = body
    {
        dispatch.deadline_ms = dispatch.deadline_ms.saturating_sub(waited_ms);
    }
}
