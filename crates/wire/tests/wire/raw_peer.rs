//! Peer with its own implementation of the handshake, which can send any frame.

use std::net::SocketAddr;

use prost::Message;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::forwarder::read_frame;

#[derive(Clone, Message, PartialEq)]
struct Hello {
    #[prost(uint32, tag = "1")]
    version: u32,
    #[prost(string, tag = "2")]
    vm: String,
    #[prost(uint64, tag = "3")]
    incarnation: u64,
    #[prost(bytes = "vec", tag = "4")]
    nonce: Vec<u8>,
}

pub(crate) struct RawPeer {
    key: [u8; 32],
    sequence: u64,
    stream: TcpStream,
}

impl RawPeer {
    /// Connects and completes the handshake with protocol `version`.
    pub(crate) async fn connect(addr: SocketAddr, secret: &[u8], version: u32) -> Self {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        let local_hello = Hello {
            version,
            vm: "vm-1".to_owned(),
            incarnation: 7,
            nonce: vec![9; 32],
        };
        send(&mut stream, &local_hello.encode_to_vec()).await;
        let peer_hello = read_frame(&mut stream).await.unwrap();
        let mut hasher = blake3::Hasher::new();
        hasher.update(&local_hello.encode_length_delimited_to_vec());
        hasher.update(&[peer_hello.len() as u8 - 4]);
        hasher.update(&peer_hello[4..]);
        let transcript = hasher.finalize();
        let secret = blake3::derive_key("skylarkrudder 2026 peer handshake", secret);
        let derive = |purpose: &str| {
            let text = [transcript.as_bytes(), purpose.as_bytes()].concat();
            *blake3::keyed_hash(&secret, &text).as_bytes()
        };
        send(&mut stream, &derive("proof connect")).await;
        Self {
            key: derive("frames connect"),
            sequence: 0,
            stream,
        }
    }

    /// Sends a frame with a valid MAC. Errors are ignored, since the peer may have closed the link.
    pub(crate) async fn send(&mut self, payload: &[u8]) {
        let text = [&self.sequence.to_le_bytes(), payload].concat();
        let mac = blake3::keyed_hash(&self.key, &text);
        self.sequence += 1;
        let frame = [&mac.as_bytes()[..16], payload].concat();
        let length = (frame.len() as u32).to_be_bytes();
        let _ = self.stream.write_all(&[&length[..], &frame].concat()).await;
    }
}

async fn send(stream: &mut TcpStream, frame: &[u8]) {
    let length = (frame.len() as u32).to_be_bytes();
    stream.write_all(&length).await.unwrap();
    stream.write_all(frame).await.unwrap();
}
