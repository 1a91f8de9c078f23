//! Mutual authentication of the ends of a new link.

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
use crate::frame_authenticator::FrameAuthenticator;
use crate::hello::Hello;
use crate::mac::is_equal;

/// Version of the peer protocol.
const VERSION: u32 = 1;

/// Length of a nonce, in bytes.
const NONCE_BYTES: usize = 32;

/// Maximum length of a frame before the peer is authenticated, in bytes.
const HANDSHAKE_FRAME_BYTES: usize = 1024;

/// A connection split into length-delimited frames.
pub(crate) type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// End of a link. Proofs and keys differ between the two ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Side {
    Accept,
    Connect,
}

/// An authenticated connection to a peer, with the keys of both directions.
pub(crate) struct Handshake {
    pub(crate) frames: Frames,
    pub(crate) incoming: FrameAuthenticator,
    pub(crate) outgoing: FrameAuthenticator,
    pub(crate) peer: Identity,
    pub(crate) side: Side,
}

impl Side {
    fn opposite(self) -> Self {
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

/// Exchanges identities and nonces, then proofs that both ends know the secret.
pub(crate) async fn perform_handshake(
    stream: TcpStream,
    side: Side,
    secret: &Secret,
    local: &Identity,
    counters: &DropCounters,
) -> Result<Handshake, LinkError> {
    stream.set_nodelay(true)?;
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(HANDSHAKE_FRAME_BYTES)
        .new_codec();
    let mut frames = Framed::new(stream, codec);
    let local_hello = new_hello(local);
    frames
        .send(Bytes::from(local_hello.encode_to_vec()))
        .await?;
    let peer_hello = receive_hello(&mut frames, counters).await?;
    let transcript = transcript_hash(side, &local_hello, &peer_hello);
    let proof = derive(secret, "proof", side, &transcript);
    frames.send(Bytes::copy_from_slice(&proof)).await?;
    let expected = derive(secret, "proof", side.opposite(), &transcript);
    if !is_equal(&receive(&mut frames, counters).await?, &expected) {
        counters.count_unauthenticated();
        return Err(LinkError::Unauthenticated);
    }
    Ok(Handshake {
        frames,
        incoming: FrameAuthenticator::new(derive(secret, "frames", side.opposite(), &transcript)),
        outgoing: FrameAuthenticator::new(derive(secret, "frames", side, &transcript)),
        peer: Identity {
            incarnation: peer_hello.incarnation,
            vm: peer_hello.vm,
        },
        side,
    })
}

fn new_hello(local: &Identity) -> Hello {
    Hello {
        version: VERSION,
        vm: local.vm.clone(),
        incarnation: local.incarnation,
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
        counters.count_unsupported_version();
        return Err(LinkError::VersionMismatch {
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

/// Returns the hash of both hello messages, which is the same on both ends.
fn transcript_hash(side: Side, local_hello: &Hello, peer_hello: &Hello) -> [u8; 32] {
    let (connect, accept) = match side {
        Side::Accept => (peer_hello, local_hello),
        Side::Connect => (local_hello, peer_hello),
    };
    let mut hasher = blake3::Hasher::new();
    hasher.update(&connect.encode_length_delimited_to_vec());
    hasher.update(&accept.encode_length_delimited_to_vec());
    hasher.finalize().into()
}

/// Derives a value for one purpose, end and handshake, which only holders of the secret can compute.
fn derive(secret: &Secret, purpose: &str, side: Side, transcript: &[u8; 32]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new_keyed(secret.handshake_key());
    hasher.update(transcript);
    hasher.update(purpose.as_bytes());
    hasher.update(b" ");
    hasher.update(side.name().as_bytes());
    hasher.finalize().into()
}
