//! Proof of identity when a link opens.

use std::io;
use std::io::ErrorKind;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use prost::Message;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::DropCounters;
use crate::Identity;
use crate::LinkError;
use crate::Secret;
use crate::hello::Hello;
use crate::mac::is_equal;
use crate::session::Session;

/// Version of the protocol between peers.
const VERSION: u32 = 1;

/// Length of a nonce, in bytes.
const NONCE_BYTES: usize = 32;

/// Longest frame before the peer has proved its identity, in bytes.
const HANDSHAKE_FRAME_BYTES: usize = 1024;

/// Frames of one connection.
pub(crate) type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// Side of a link, which tells its proof and keys from those of the other side.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Side {
    Accept,
    Connect,
}

/// A peer that has proved its identity, with the keys of both directions.
pub(crate) struct Handshake {
    pub(crate) frames: Frames,
    pub(crate) incoming: Session,
    pub(crate) outgoing: Session,
    pub(crate) peer: Identity,
    pub(crate) side: Side,
}

impl Side {
    fn other(self) -> Self {
        match self {
            Self::Accept => Self::Connect,
            Self::Connect => Self::Accept,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Accept => "accept",
            Self::Connect => "connect",
        }
    }
}

/// Exchanges names and nonces, then proofs that both sides have the secret.
pub(crate) async fn shake_hands(
    stream: TcpStream,
    side: Side,
    secret: &Secret,
    me: &Identity,
    counters: &DropCounters,
) -> Result<Handshake, LinkError> {
    stream.set_nodelay(true)?;
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(HANDSHAKE_FRAME_BYTES)
        .new_codec();
    let mut frames = Framed::new(stream, codec);
    let mine = hello(me);
    frames.send(Bytes::from(mine.encode_to_vec())).await?;
    let theirs = receive_hello(&mut frames, counters).await?;
    let transcript = transcript(side, &mine, &theirs);
    let proof = derive(secret, "proof", side, &transcript);
    frames.send(Bytes::copy_from_slice(&proof)).await?;
    let expected = derive(secret, "proof", side.other(), &transcript);
    if !is_equal(&receive(&mut frames, counters).await?, &expected) {
        counters.count_unauthenticated();
        return Err(LinkError::Unauthenticated);
    }
    Ok(Handshake {
        frames,
        incoming: Session::new(derive(secret, "frames", side.other(), &transcript)),
        outgoing: Session::new(derive(secret, "frames", side, &transcript)),
        peer: Identity {
            incarnation: theirs.incarnation,
            vm: theirs.vm,
        },
        side,
    })
}

fn hello(me: &Identity) -> Hello {
    Hello {
        version: VERSION,
        vm: me.vm.clone(),
        incarnation: me.incarnation,
        nonce: rand::random::<[u8; NONCE_BYTES]>().to_vec(),
    }
}

async fn receive_hello(frames: &mut Frames, counters: &DropCounters) -> Result<Hello, LinkError> {
    let frame = receive(frames, counters).await?;
    let Some(hello) = Hello::decode(frame)
        .ok()
        .filter(|hello| hello.nonce.len() == NONCE_BYTES)
    else {
        counters.count_malformed();
        return Err(LinkError::Malformed);
    };
    if hello.version != VERSION {
        counters.count_version();
        return Err(LinkError::Version {
            ours: VERSION,
            theirs: hello.version,
        });
    }
    Ok(hello)
}

async fn receive(frames: &mut Frames, counters: &DropCounters) -> Result<Bytes, LinkError> {
    match frames.next().await {
        Some(Ok(frame)) => Ok(frame.freeze()),
        Some(Err(error)) if error.kind() == ErrorKind::InvalidData => {
            counters.count_oversized();
            Err(LinkError::Malformed)
        }
        Some(Err(error)) => Err(error.into()),
        None => Err(io::Error::from(ErrorKind::UnexpectedEof).into()),
    }
}

/// Returns the hash of both hellos, the same on both sides.
fn transcript(side: Side, mine: &Hello, theirs: &Hello) -> [u8; 32] {
    let (connect, accept) = match side {
        Side::Accept => (theirs, mine),
        Side::Connect => (mine, theirs),
    };
    let mut hasher = blake3::Hasher::new();
    hasher.update(&connect.encode_length_delimited_to_vec());
    hasher.update(&accept.encode_length_delimited_to_vec());
    hasher.finalize().into()
}

/// Returns a value that only holders of the secret can make, for one purpose, side and handshake.
fn derive(secret: &Secret, purpose: &str, side: Side, transcript: &[u8; 32]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new_keyed(secret.handshake_key());
    hasher.update(transcript);
    hasher.update(purpose.as_bytes());
    hasher.update(b" ");
    hasher.update(side.name().as_bytes());
    hasher.finalize().into()
}
