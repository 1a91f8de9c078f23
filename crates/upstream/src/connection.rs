//! An HTTP/1 connection to an upstream.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use ids::RequestId;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::bounded_stream::BoundedStream;
use crate::bounded_stream::ReadAllowance;

/// Maximum length of the status line and headers, in bytes.
const MAX_HEADER_BYTES: usize = 64 << 10;

/// Maximum number of bytes that may arrive from the sending of a request to the end of the headers of its answer. One read
/// may hold the headers and the beginning of the body.
const MAX_BYTES_BEFORE_ANSWER: usize = 2 * MAX_HEADER_BYTES;

/// Maximum number of bytes that one byte of an answer's body may take. A chunk with a single byte takes 6.
const MAX_FRAMING_FACTOR: usize = 8;

/// Number of refusals after which a connection is closed, since the ids of the refused requests are kept.
const MAX_REFUSALS: usize = 64;

/// Connection that closes on drop, also while a request is in flight.
#[derive(Debug)]
pub(crate) struct Connection {
    /// Time of the last answer, or of the opening if there was none.
    pub(crate) last_answer: Instant,
    pub(crate) has_answered: bool,
    /// Maximum number of bytes of an answer's body and trailers with their framing.
    max_body_bytes: usize,
    read_allowance: ReadAllowance,
    /// Requests that were refused on this connection.
    refused: BTreeSet<RequestId>,
    sender: SendRequest<Full<Bytes>>,
    driver_task: AbortHandle,
}

impl Connection {
    /// Opens a connection for answers with bodies of at most `max_answer_bytes`, and drops `permit` once it has closed.
    pub(crate) async fn open(
        address: SocketAddr,
        max_answer_bytes: usize,
        permit: impl Send + 'static,
    ) -> Result<Self, String> {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| error.to_string())?;
        let _ = stream.set_nodelay(true);
        let read_allowance = ReadAllowance::new(MAX_BYTES_BEFORE_ANSWER);
        let stream = BoundedStream::new(stream, read_allowance.clone());
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
            max_body_bytes: max_answer_bytes * MAX_FRAMING_FACTOR + MAX_HEADER_BYTES,
            read_allowance,
            refused: BTreeSet::new(),
            sender,
            driver_task: driver_task.abort_handle(),
        })
    }

    /// Reports whether the connection has closed.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Records that a request was refused, and reports whether the connection may be used for others.
    pub(crate) fn record_refusal(&mut self, request_id: &RequestId) -> bool {
        self.refused.insert(request_id.clone());
        self.refused.len() < MAX_REFUSALS
    }

    /// Reports whether a request was refused on this connection. Its refusal may arrive once more in place of a later answer,
    /// and only the id of the request tells answers apart.
    pub(crate) fn has_refused(&self, request_id: &RequestId) -> bool {
        self.refused.contains(request_id)
    }

    /// Waits until the connection can take the next request.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has closed.
    pub(crate) async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    /// Sends a request, and returns its answer once the headers are complete.
    ///
    /// # Errors
    ///
    /// Returns an error, with the request if it was not sent, if there is no answer.
    pub(crate) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.read_allowance.set(MAX_BYTES_BEFORE_ANSWER);
        let res = self.sender.try_send_request(req).await?;
        self.read_allowance.set(self.max_body_bytes);
        Ok(res)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver_task.abort();
    }
}
