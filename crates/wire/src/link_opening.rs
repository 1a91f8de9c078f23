//! Opening of links.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::DropCounters;
use crate::Identity;
use crate::IncomingMessages;
use crate::Link;
use crate::LinkError;
use crate::LinkSettings;
use crate::Secret;
use crate::handshake::Handshake;
use crate::handshake::Side;
use crate::handshake::shake_hands;
use crate::header_decoder::HeaderDecoder;
use crate::header_encoder::HeaderEncoder;
use crate::reader::Reader;
use crate::shared::Shared;
use crate::writer::Writer;

/// Opens a link to the peer at `addr`.
///
/// # Errors
///
/// Returns why the peer can't be reached or trusted.
///
/// # Panics
///
/// Panics outside a Tokio runtime with timers.
pub async fn connect(
    addr: SocketAddr,
    secret: &Secret,
    me: &Identity,
    settings: &LinkSettings,
    counters: &Arc<DropCounters>,
) -> Result<(Link, IncomingMessages), LinkError> {
    let opening = async {
        let stream = TcpStream::connect(addr).await?;
        shake_hands(stream, Side::Connect, secret, me, counters).await
    };
    open(opening, settings, counters).await
}

/// Opens a link with a peer that has connected.
///
/// # Errors
///
/// Returns why the peer can't be trusted.
///
/// # Panics
///
/// Panics outside a Tokio runtime with timers.
pub async fn accept(
    stream: TcpStream,
    secret: &Secret,
    me: &Identity,
    settings: &LinkSettings,
    counters: &Arc<DropCounters>,
) -> Result<(Link, IncomingMessages), LinkError> {
    let opening = shake_hands(stream, Side::Accept, secret, me, counters);
    open(opening, settings, counters).await
}

async fn open(
    opening: impl Future<Output = Result<Handshake, LinkError>>,
    settings: &LinkSettings,
    counters: &Arc<DropCounters>,
) -> Result<(Link, IncomingMessages), LinkError> {
    let patience = settings.handshake_timeout;
    let handshake = timeout(patience, opening)
        .await
        .map_err(|_| LinkError::Timeout(patience))??;
    Ok(start(handshake, settings, counters))
}

/// Starts the tasks of a link.
fn start(
    handshake: Handshake,
    settings: &LinkSettings,
    counters: &Arc<DropCounters>,
) -> (Link, IncomingMessages) {
    let mut frames = handshake.frames;
    frames
        .codec_mut()
        .set_max_frame_length(settings.max_frame_bytes);
    let (sink, stream) = frames.split();
    let (queue_tx, queue_rx) = mpsc::unbounded_channel();
    let (incoming_tx, incoming_rx) = mpsc::channel(settings.max_incoming_calls);
    let shared = Arc::new(Shared::new(
        handshake.peer,
        settings.clone(),
        handshake.side,
        queue_tx,
    ));
    let reader = Reader {
        counters: counters.clone(),
        headers: HeaderDecoder::default(),
        incoming: incoming_tx,
        session: handshake.incoming,
        shared: shared.clone(),
    };
    let writer = Writer {
        headers: HeaderEncoder::default(),
        queue: queue_rx,
        session: handshake.outgoing,
        shared: shared.clone(),
    };
    tokio::spawn(reader.run(stream));
    tokio::spawn(writer.run(sink));
    let guard = Arc::new(shared.closed.clone().drop_guard());
    let link = Link::new(shared, guard.clone());
    (link, IncomingMessages::new(incoming_rx, guard))
}
