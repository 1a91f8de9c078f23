//! Functions that open links.

use std::collections::VecDeque;
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
use crate::handshake::perform_handshake;
use crate::header_decoder::HeaderDecoder;
use crate::header_encoder::HeaderEncoder;
use crate::link_state::LinkState;
use crate::part_assembler::PartAssembler;
use crate::reader::Reader;
use crate::writer::Writer;

/// Opens a link to the peer at `addr`.
///
/// # Errors
///
/// Returns an error if the peer cannot be reached or authenticated in time.
///
/// # Panics
///
/// Panics outside a Tokio runtime with timers.
pub async fn connect(
    addr: SocketAddr,
    secret: &Secret,
    local: &Identity,
    settings: &LinkSettings,
    counters: &Arc<DropCounters>,
) -> Result<(Link, IncomingMessages), LinkError> {
    let handshake = async {
        let stream = TcpStream::connect(addr).await?;
        perform_handshake(stream, Side::Connect, secret, local, counters).await
    };
    open_link(handshake, settings, counters).await
}

/// Opens a link on a connection that a peer has made.
///
/// # Errors
///
/// Returns an error if the peer cannot be authenticated in time.
///
/// # Panics
///
/// Panics outside a Tokio runtime with timers.
pub async fn accept(
    stream: TcpStream,
    secret: &Secret,
    local: &Identity,
    settings: &LinkSettings,
    counters: &Arc<DropCounters>,
) -> Result<(Link, IncomingMessages), LinkError> {
    let handshake = perform_handshake(stream, Side::Accept, secret, local, counters);
    open_link(handshake, settings, counters).await
}

async fn open_link(
    handshake: impl Future<Output = Result<Handshake, LinkError>>,
    settings: &LinkSettings,
    counters: &Arc<DropCounters>,
) -> Result<(Link, IncomingMessages), LinkError> {
    let time_limit = settings.handshake_timeout;
    let handshake = timeout(time_limit, handshake)
        .await
        .map_err(|_| LinkError::Timeout(time_limit))??;
    Ok(start_link(handshake, settings, counters))
}

/// Starts the reader and writer tasks of a link.
fn start_link(
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
    let state = Arc::new(LinkState::new(
        handshake.peer,
        settings.clone(),
        handshake.side,
        queue_tx,
    ));
    let reader = Reader {
        counters: counters.clone(),
        decoder: HeaderDecoder::default(),
        incoming_tx,
        assembler: PartAssembler::new(settings.max_frame_bytes),
        authenticator: handshake.incoming,
        state: state.clone(),
    };
    let writer = Writer {
        encoder: HeaderEncoder::default(),
        queue: queue_rx,
        authenticator: handshake.outgoing,
        long_packets: VecDeque::new(),
        state: state.clone(),
    };
    tokio::spawn(reader.run(stream));
    tokio::spawn(writer.run(sink));
    let guard = Arc::new(state.closed.clone().drop_guard());
    let link = Link::new(state, guard.clone());
    (link, IncomingMessages::new(incoming_rx, guard))
}
