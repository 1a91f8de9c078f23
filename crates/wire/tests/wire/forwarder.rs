//! Forwarder between two ends of a link, which can modify the frames that pass.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;

/// Maps the number and the content of a frame from the connecting end to the bytes that are forwarded.
type FrameTransform = Box<dyn Fn(usize, Vec<u8>) -> Vec<u8> + Send + Sync>;

/// Forwards one connection.
pub(crate) struct Forwarder {
    /// Whether frames to the accepting end are dropped.
    pub(crate) drop_frames: Arc<AtomicBool>,
    /// Number of frames received from the connecting end.
    pub(crate) received_frames: Arc<AtomicUsize>,
    transform: FrameTransform,
}

impl Default for Forwarder {
    fn default() -> Self {
        Self::new(|_, frame| frame)
    }
}

impl Forwarder {
    pub(crate) fn new(
        transform: impl Fn(usize, Vec<u8>) -> Vec<u8> + Send + Sync + 'static,
    ) -> Self {
        Self {
            drop_frames: Arc::default(),
            received_frames: Arc::default(),
            transform: Box::new(transform),
        }
    }

    /// Starts to listen and returns the address.
    pub(crate) async fn start(self, to: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        tokio::spawn(async move {
            let (near, _) = listener.accept().await.unwrap();
            let far = TcpStream::connect(to).await.unwrap();
            near.set_nodelay(true).unwrap();
            far.set_nodelay(true).unwrap();
            let (near_rx, near_tx) = near.into_split();
            let (far_rx, far_tx) = far.into_split();
            tokio::spawn(copy(far_rx, near_tx));
            self.forward(near_rx, far_tx).await;
        });
        addr
    }

    async fn forward(self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        while let Some(frame) = read_frame(&mut from).await {
            let number = self.received_frames.fetch_add(1, Ordering::Relaxed);
            let transformed = (self.transform)(number, frame);
            if !self.drop_frames.load(Ordering::Relaxed)
                && to.write_all(&transformed).await.is_err()
            {
                break;
            }
        }
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    let _ = tokio::io::copy(&mut from, &mut to).await;
}

/// Reads one frame, including its length prefix.
pub(crate) async fn read_frame(from: &mut (impl AsyncReadExt + Unpin)) -> Option<Vec<u8>> {
    let mut frame = vec![0; 4];
    from.read_exact(&mut frame).await.ok()?;
    let length = u32::from_be_bytes([frame[0], frame[1], frame[2], frame[3]]) as usize;
    frame.resize(4 + length, 0);
    from.read_exact(&mut frame[4..]).await.ok()?;
    Some(frame)
}
