//! An HTTP/1 connection to an upstream.

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Maximum length of the status line and headers, in bytes.
const MAX_HEADER_BYTES: usize = 64 << 10;

/// Connection that closes on drop, also while a request is in flight.
#[derive(Debug)]
pub(crate) struct Connection {
    /// Time of the last answer, or of the opening if there was none.
    pub(crate) last_answer: Instant,
    pub(crate) has_answered: bool,
    pub(crate) sender: SendRequest<Full<Bytes>>,
    driver_task: AbortHandle,
}

impl Connection {
    /// Opens a connection, and drops `permit` once it has closed.
    pub(crate) async fn open(
        address: SocketAddr,
        permit: impl Send + 'static,
    ) -> Result<Self, String> {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| error.to_string())?;
        let _ = stream.set_nodelay(true);
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_HEADER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| error.to_string())?;
        let driver_task = tokio::spawn(async move {
            let _ = driver.await;
            drop(permit);
        });
        Ok(Self {
            last_answer: Instant::now(),
            has_answered: false,
            sender,
            driver_task: driver_task.abort_handle(),
        })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver_task.abort();
    }
}
