//! Task that writes the frames of a link.

use std::collections::VecDeque;
use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::Sink;
use futures_util::SinkExt;
use prost::Message;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::frame_authenticator::FrameAuthenticator;
use crate::header_encoder::HeaderEncoder;
use crate::link_state::LinkState;
use crate::liveness_monitor::LivenessAction;
use crate::liveness_monitor::LivenessMonitor;
use crate::long_packet::LongPacket;
use crate::packet::Packet;
use crate::packet::PacketBody;

/// Writes the queued packets of a link and pings a silent peer until the link closes.
pub(crate) struct Writer {
    pub(crate) encoder: HeaderEncoder,
    pub(crate) queue: UnboundedReceiver<Packet>,
    pub(crate) authenticator: FrameAuthenticator,
    /// Long packets in the order in which they are written. The first may have been written in part.
    pub(crate) long_packets: VecDeque<LongPacket>,
    pub(crate) state: Arc<LinkState>,
}

impl Writer {
    pub(crate) async fn run(mut self, mut frames: impl Sink<Bytes, Error = io::Error> + Unpin) {
        let closed = self.state.closed.clone();
        tokio::select! {
            _ = self.write_queued(&mut frames) => closed.cancel(),
            () = closed.cancelled() => {}
        }
        let time_limit = self.state.settings.silence_timeout;
        let _ = timeout(time_limit, self.flush(&mut frames)).await;
        let _ = timeout(time_limit, frames.close()).await;
    }

    async fn write_queued(
        &mut self,
        frames: &mut (impl Sink<Bytes, Error = io::Error> + Unpin),
    ) -> io::Result<()> {
        let mut monitor = LivenessMonitor::new(&self.state);
        loop {
            tokio::select! {
                biased;
                packet = self.queue.recv() => match packet {
                    Some(packet) => self.write_packet(frames, packet).await?,
                    None => return Ok(()),
                },
                () = std::future::ready(()), if !self.long_packets.is_empty() => {}
                () = sleep_until(monitor.next_check().into()) => match monitor.check() {
                    LivenessAction::Close => return Ok(()),
                    LivenessAction::Wait => {}
                    LivenessAction::Ping => self.state.enqueue(PacketBody::Ping(())),
                }
            }
            self.flush_with_timeout(frames).await?;
        }
    }

    /// Writes the queued packets, and fails if the peer does not read them in time.
    async fn flush_with_timeout(
        &mut self,
        frames: &mut (impl Sink<Bytes, Error = io::Error> + Unpin),
    ) -> io::Result<()> {
        let time_limit = self.state.settings.silence_timeout;
        timeout(time_limit, self.flush(frames)).await?
    }

    async fn flush(
        &mut self,
        frames: &mut (impl Sink<Bytes, Error = io::Error> + Unpin),
    ) -> io::Result<()> {
        while let Ok(packet) = self.queue.try_recv() {
            self.write_packet(frames, packet).await?;
        }
        self.write_part(frames).await?;
        frames.flush().await
    }

    /// Writes the next part of a long packet.
    async fn write_part(
        &mut self,
        frames: &mut (impl Sink<Bytes, Error = io::Error> + Unpin),
    ) -> io::Result<()> {
        let Some(mut packet) = self.long_packets.pop_front() else {
            return Ok(());
        };
        let is_wanted = match packet.call_id() {
            None => true,
            // The peer can run the call once it has all parts, so the last one is what counts as sent.
            Some(id) if packet.is_at_last_part() => self.state.pending_calls().mark_sent(id),
            Some(id) => self.state.pending_calls().is_waiting(id),
        };
        if !is_wanted {
            self.state.record_dequeued(packet.queued_bytes());
            return match packet.drop_part() {
                Some(part) => self.write_body(frames, PacketBody::Part(part)).await,
                None => Ok(()),
            };
        }
        let is_complete = packet.is_at_last_part();
        let part = packet.next_part();
        if is_complete {
            self.state.record_dequeued(packet.queued_bytes());
        } else {
            self.long_packets.push_front(packet);
        }
        self.write_body(frames, PacketBody::Part(part)).await
    }

    async fn write_packet(
        &mut self,
        frames: &mut (impl Sink<Bytes, Error = io::Error> + Unpin),
        mut packet: Packet,
    ) -> io::Result<()> {
        if let Some(long_packet) = LongPacket::split(&packet) {
            self.long_packets.push_back(long_packet);
            return Ok(());
        }
        self.state.record_dequeued(packet.encoded_len());
        if let Some(PacketBody::Request(request)) = &packet.body
            && !self.state.pending_calls().mark_sent(request.id)
        {
            return Ok(());
        }
        if let Some(headers) = packet.body.as_mut().and_then(PacketBody::headers_mut) {
            self.encoder.encode(headers);
        }
        self.write_frame(frames, &packet).await
    }

    async fn write_body(
        &mut self,
        frames: &mut (impl Sink<Bytes, Error = io::Error> + Unpin),
        body: PacketBody,
    ) -> io::Result<()> {
        self.write_frame(frames, &Packet::from(body)).await
    }

    async fn write_frame(
        &mut self,
        frames: &mut (impl Sink<Bytes, Error = io::Error> + Unpin),
        packet: &Packet,
    ) -> io::Result<()> {
        let frame = self.authenticator.sign(&packet.encode_to_vec());
        frames.feed(frame).await
    }
}
