//! Task that writes the frames of a link.

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
use crate::packet::Packet;
use crate::packet::PacketBody;

/// Writes the queued packets of a link and pings a silent peer until the link closes.
pub(crate) struct Writer {
    pub(crate) encoder: HeaderEncoder,
    pub(crate) queue: UnboundedReceiver<Packet>,
    pub(crate) authenticator: FrameAuthenticator,
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
                packet = self.queue.recv() => match packet {
                    Some(packet) => self.write_packet(frames, packet).await?,
                    None => return Ok(()),
                },
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
        frames.flush().await
    }

    async fn write_packet(
        &mut self,
        frames: &mut (impl Sink<Bytes, Error = io::Error> + Unpin),
        mut packet: Packet,
    ) -> io::Result<()> {
        self.state.record_dequeued(&packet);
        if let Some(PacketBody::Request(request)) = &packet.body
            && !self.state.pending_calls().mark_sent(request.id)
        {
            return Ok(());
        }
        if let Some(headers) = packet.body.as_mut().and_then(PacketBody::headers_mut) {
            self.encoder.encode(headers);
        }
        let frame = self.authenticator.sign(&packet.encode_to_vec());
        frames.feed(frame).await
    }
}
