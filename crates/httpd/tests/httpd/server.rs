//! A server under test, and a client that sends arbitrary text.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use httpd::Handler;
use httpd::Limits;
use httpd::RefusalReason;
use httpd::RemoteAddress;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Answers with the body of the request. `/address` answers with the address of the client, `/wait` answers once released, and `/large` answers with 32 MiB.
#[derive(Default)]
pub(crate) struct EchoHandler {
    pub(crate) dropped: Notify,
    pub(crate) release: Notify,
    pub(crate) started: Notify,
}

/// Notifies on drop, so that the end of a request is signalled however it ends.
struct NotifyOnDrop<'a>(&'a Notify);

impl Drop for NotifyOnDrop<'_> {
    fn drop(&mut self) {
        self.0.notify_one();
    }
}

impl Handler for EchoHandler {
    async fn handle(&self, req: Request<Bytes>) -> Response<Bytes> {
        match req.uri().path() {
            "/address" => {
                let address = req.extensions().get::<RemoteAddress>().unwrap();
                Response::new(address.0.to_string().into())
            }
            "/large" => Response::new(vec![b'x'; 32 << 20].into()),
            "/wait" => {
                let _notify_on_drop = NotifyOnDrop(&self.dropped);
                self.started.notify_one();
                self.release.notified().await;
                Response::new(req.into_body())
            }
            _ => Response::new(req.into_body()),
        }
    }

    fn refuse(&self, reason: RefusalReason) -> Response<Bytes> {
        let status = match reason {
            RefusalReason::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            RefusalReason::BodyTruncated => StatusCode::BAD_REQUEST,
            RefusalReason::HeadersTooLarge { .. } => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            RefusalReason::Timeout { .. } => StatusCode::REQUEST_TIMEOUT,
            RefusalReason::Busy | RefusalReason::TooManyConnections { .. } => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        };
        let mut res = Response::new(reason.to_string().into());
        *res.status_mut() = status;
        res
    }
}

pub(crate) struct Server {
    pub(crate) addr: SocketAddr,
    pub(crate) handler: Arc<EchoHandler>,
    pub(crate) task: JoinHandle<()>,
    pub(crate) stop: CancellationToken,
}

impl Server {
    pub(crate) async fn start(limits: Limits) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let handler = Arc::new(EchoHandler::default());
        let stop = CancellationToken::new();
        let task = tokio::spawn(httpd::serve(
            listener,
            limits,
            handler.clone(),
            stop.clone(),
        ));
        Self {
            addr,
            handler,
            task,
            stop,
        }
    }

    pub(crate) async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.addr).await.unwrap()
    }

    /// Sends text on a new connection, and returns everything received until the connection closes.
    pub(crate) async fn send_and_read(&self, text: &str) -> String {
        let mut stream = self.connect().await;
        stream.write_all(text.as_bytes()).await.unwrap();
        read_to_end(&mut stream).await
    }

    /// Repeats a request until it is answered with status 200.
    pub(crate) async fn wait_until_served(&self) {
        let req = "GET / HTTP/1.1\r\nconnection: close\r\n\r\n";
        while !self.send_and_read(req).await.starts_with("HTTP/1.1 200") {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Returns everything received until the connection closes, without the `date` header.
pub(crate) async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut buf = Vec::new();
    let _ = stream.read_to_end(&mut buf).await;
    let text = String::from_utf8_lossy(&buf).replace("\r\n", "\n");
    let lines: Vec<_> = text
        .lines()
        .filter(|line| !line.starts_with("date: "))
        .collect();
    lines.join("\n")
}
