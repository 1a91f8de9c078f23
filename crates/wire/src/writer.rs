//! The task that writes a link.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::Sink;
use futures_util::SinkExt;
use prost::Message;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::header_encoder::HeaderEncoder;
use crate::packet::Packet;
use crate::packet::PacketBody;
use crate::session::Session;
use crate::shared::Shared;
use crate::silence::Silence;
use crate::silence::Verdict;

/// Writes the queued packets of a link, and pings a silent peer, until the link closes.
pub(crate) struct Writer {
    pub(crate) headers: HeaderEncoder,
    pub(crate) queue: UnboundedReceiver<Packet>,
    pub(crate) session: Session,
    pub(crate) shared: Arc<Shared>,
}

impl Writer {
    pub(crate) async fn run(mut self, mut frames: impl Sink<Bytes, Error = io::Error> + Unpin) {
        let closed = self.shared.closed.clone();
        tokio::select! {
            _ = self.write(&mut frames) => closed.cancel(),
            () = closed.cancelled() => {}
        }
        let silence = self.shared.settings.silence_timeout;
        let _ = timeout(silence, self.flush(&mut frames)).await;
        let _ = timeout(silence, frames.close()).await;
    }

    async fn write(
        &mut self,
        frames: &mut (impl Sink<Bytes, Error = io::Error> + Unpin),
    ) -> io::Result<()> {
        let mut silence = Silence::new(&self.shared);
        loop {
            tokio::select! {
                packet = self.queue.recv() => match packet {
                    Some(packet) => self.feed(frames, packet).await?,
                    None => return Ok(()),
                },
                () = sleep_until(silence.due().into()) => match silence.check() {
                    Verdict::Close => return Ok(()),
                    Verdict::Fine => {}
                    Verdict::Ping => self.shared.send(PacketBody::Ping(())),
                }
            }
            self.flush_within(frames).await?;
        }
    }

    /// Writes what is queued, and fails when the peer does not take it in time.
    async fn flush_within(
        &mut self,
        frames: &mut (impl Sink<Bytes, Error = io::Error> + Unpin),
    ) -> io::Result<()> {
        let silence = self.shared.settings.silence_timeout;
        timeout(silence, self.flush(frames)).await?
    }

    async fn flush(
        &mut self,
        frames: &mut (impl Sink<Bytes, Error = io::Error> + Unpin),
    ) -> io::Result<()> {
        while let Ok(packet) = self.queue.try_recv() {
            self.feed(frames, packet).await?;
        }
        frames.flush().await
    }

    async fn feed(
        &mut self,
        frames: &mut (impl Sink<Bytes, Error = io::Error> + Unpin),
        mut packet: Packet,
    ) -> io::Result<()> {
        self.shared.sent(&packet);
        if let Some(PacketBody::Request(request)) = &packet.body
            && !self.shared.pending().begin_sending(request.id)
        {
            return Ok(());
        }
        if let Some(headers) = packet.body.as_mut().and_then(PacketBody::headers_mut) {
            self.headers.encode(headers);
        }
        let frame = self.session.seal(&packet.encode_to_vec());
        frames.feed(frame).await
    }
}
