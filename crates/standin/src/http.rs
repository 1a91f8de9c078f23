//! HTTP server shared by the log and upstream stand-ins.

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task;

/// Number that identifies a connection within one server, counted from 0.
pub(crate) type ConnectionId = u64;

/// A response whose body is held in memory.
pub(crate) type HttpResponse = Response<Full<Bytes>>;

/// Handles the connections and requests of a server. A request is passed to
/// [`handle`](Self::handle) once its body is complete.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Reports whether to serve a new connection; if not, it is closed at once.
    fn accept_connection(&self, _connection: ConnectionId) -> bool {
        true
    }

    /// Called when a served connection has ended.
    fn connection_closed(&self, _connection: ConnectionId) {}

    /// Returns the response to a request, or `None` to close the connection without a response.
    fn handle(
        self: Arc<Self>,
        connection: ConnectionId,
        req: Request<Bytes>,
    ) -> impl Future<Output = Option<HttpResponse>> + Send;
}

/// Serves every connection of a listener until the runtime shuts down.
pub(crate) async fn serve<H: Handler>(listener: TcpListener, handler: Arc<H>) {
    let next_id = AtomicU64::new(0);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            task::yield_now().await;
            continue;
        };
        let connection = next_id.fetch_add(1, Ordering::Relaxed);
        if handler.accept_connection(connection) {
            task::spawn(serve_connection(stream, connection, Arc::clone(&handler)));
        }
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    connection: ConnectionId,
    handler: Arc<H>,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|req| respond(Arc::clone(&handler), connection, req));
    // The client reports a failed connection, so the error is ignored here.
    let _ = http1::Builder::new()
        .half_close(true)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    handler.connection_closed(connection);
}

async fn respond<H: Handler>(
    handler: Arc<H>,
    connection: ConnectionId,
    req: Request<Incoming>,
) -> io::Result<HttpResponse> {
    let (parts, body) = req.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    handler
        .handle(connection, Request::from_parts(parts, body))
        .await
        .ok_or_else(|| io::Error::from(io::ErrorKind::ConnectionAborted))
}

/// Returns a response with a JSON body.
pub(crate) fn json_response(status: StatusCode, body: &(impl Serialize + ?Sized)) -> HttpResponse {
    let text = serde_json::to_vec(body).expect("stand-in types serialize to JSON");
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response.headers_mut().insert(
        CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    response
}

/// Returns a JSON response with a one-line `message` that describes the error or the result.
pub(crate) fn message_response(status: StatusCode, text: &str) -> HttpResponse {
    json_response(status, &serde_json::json!({ "message": text }))
}

/// Parses a JSON body, or returns a `400 Bad Request` response.
pub(crate) fn parse_json<T: DeserializeOwned>(body: &Bytes) -> Result<T, Box<HttpResponse>> {
    serde_json::from_slice(body).map_err(|error| {
        Box::new(message_response(
            StatusCode::BAD_REQUEST,
            &error.to_string(),
        ))
    })
}

/// Returns the value of a query parameter.
pub(crate) fn query_parameter<'a>(req: &'a Request<Bytes>, name: &str) -> Option<&'a str> {
    req.uri()
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(parameter, _)| *parameter == name)
        .map(|(_, value)| value)
}
