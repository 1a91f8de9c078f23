//! Task that reads the frames of a link.

use std::io::ErrorKind;
use std::sync::Arc;

use bytes::BytesMut;
use futures_util::Stream;
use futures_util::StreamExt;
use prost::Message;
use tokio::sync::mpsc::Sender;
use tokio_util::sync::CancellationToken;

use crate::CallError;
use crate::DropCounters;
use crate::IncomingMessage;
use crate::Responder;
use crate::frame_authenticator::FrameAuthenticator;
use crate::header_decoder::HeaderDecoder;
use crate::link_state::LinkState;
use crate::packet::Failure;
use crate::packet::Packet;
use crate::packet::PacketBody;
use crate::packet::RequestPacket;
use crate::packet::ResponsePacket;
use crate::part_assembler::AssemblyResult;
use crate::part_assembler::PartAssembler;

/// Reads the frames of a link until it closes.
pub(crate) struct Reader {
    pub(crate) counters: Arc<DropCounters>,
    pub(crate) decoder: HeaderDecoder,
    pub(crate) incoming_tx: Sender<IncomingMessage>,
    pub(crate) assembler: PartAssembler,
    pub(crate) authenticator: FrameAuthenticator,
    pub(crate) state: Arc<LinkState>,
}

impl Reader {
    pub(crate) async fn run(
        mut self,
        mut frames: impl Stream<Item = std::io::Result<BytesMut>> + Unpin,
    ) {
        let closed = self.state.closed.clone();
        tokio::select! {
            () = self.read_frames(&mut frames) => closed.cancel(),
            () = closed.cancelled() => {}
        }
        self.state.pending_calls().close();
    }

    async fn read_frames(
        &mut self,
        frames: &mut (impl Stream<Item = std::io::Result<BytesMut>> + Unpin),
    ) {
        while let Some(frame) = frames.next().await {
            let Some(body) = self.decode(frame) else {
                return;
            };
            self.state.last_received.record();
            self.state.pending_calls().record_frame();
            let PacketBody::Part(part) = body else {
                self.handle(body);
                continue;
            };
            match self.assembler.add(&part) {
                AssemblyResult::Complete(body) => self.handle(body),
                AssemblyResult::Incomplete => {}
                AssemblyResult::Malformed => {
                    self.counters.count_malformed();
                    return;
                }
            }
        }
    }

    /// Verifies and decodes a frame. If the frame is invalid, counts it and returns `None`, and the link
    /// must be closed.
    fn decode(&mut self, frame: std::io::Result<BytesMut>) -> Option<PacketBody> {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => {
                if error.kind() == ErrorKind::InvalidData {
                    self.counters.count_oversized();
                }
                return None;
            }
        };
        let Some(payload) = self.authenticator.verify(frame) else {
            self.counters.count_unauthenticated();
            return None;
        };
        let body = Packet::decode(payload).ok().and_then(|packet| packet.body);
        let body = body.and_then(|body| self.restore_headers(body));
        if body.is_none() {
            self.counters.count_malformed();
        }
        body
    }

    fn restore_headers(&mut self, mut body: PacketBody) -> Option<PacketBody> {
        if let Some(headers) = body.headers_mut() {
            self.decoder.decode(headers)?;
        }
        Some(body)
    }

    fn handle(&mut self, body: PacketBody) {
        match body {
            PacketBody::Abandon(id) => {
                if let Some(cancelled) = self.state.incoming_calls().get(&id) {
                    cancelled.cancel();
                }
            }
            PacketBody::Notice(packet) => {
                if let Some(notice) = packet.notice {
                    let _ = self.incoming_tx.try_send(IncomingMessage::Notice(notice));
                }
            }
            PacketBody::Part(_) => self.counters.count_malformed(),
            PacketBody::Ping(()) => self.state.enqueue(PacketBody::Pong(())),
            PacketBody::Pong(()) => {}
            PacketBody::Request(packet) => self.handle_request(packet),
            PacketBody::Response(packet) => self.handle_response(packet),
        }
    }

    fn handle_request(&mut self, packet: RequestPacket) {
        let id = packet.id;
        if !self.accept_call(packet) {
            self.state.enqueue(PacketBody::Response(ResponsePacket {
                id,
                failure: Failure::Busy.into(),
                reply: None,
            }));
        }
    }

    /// Passes a call to the receiver, and reports whether it was accepted within the limit.
    fn accept_call(&mut self, packet: RequestPacket) -> bool {
        let Some(call) = packet.call else {
            self.counters.count_malformed();
            return false;
        };
        let Ok(permit) = self.incoming_tx.try_reserve() else {
            return false;
        };
        let cancelled = CancellationToken::new();
        {
            let mut incoming_calls = self.state.incoming_calls();
            if incoming_calls.len() >= self.state.settings.max_incoming_calls {
                return false;
            }
            incoming_calls.insert(packet.id, cancelled.clone());
        }
        let responder = Responder::new(self.state.clone(), packet.id, cancelled);
        permit.send(IncomingMessage::Call { call, responder });
        true
    }

    fn handle_response(&mut self, packet: ResponsePacket) {
        let result = match (packet.failure(), packet.reply) {
            (Failure::None, Some(reply)) => Ok(reply),
            (Failure::Busy, _) => Err(CallError::Busy),
            (Failure::Abandoned | Failure::None, _) => Err(CallError::Unknown),
        };
        self.state.pending_calls().finish(packet.id, result);
    }
}
