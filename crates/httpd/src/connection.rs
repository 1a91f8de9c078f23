//! Serving of one client connection.

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::header::CONTENT_LENGTH;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Handler;
use crate::RefusalReason;
use crate::connection_context::ConnectionContext;
use crate::connection_context::set_connection_close;
use crate::limited_stream::LimitedStream;

/// Smallest read buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Maximum number of headers of a request. Their total size is limited besides.
const MAX_HEADERS: usize = 1_024;

/// Time that an idle connection stays open after the server stops, for requests already in flight.
const IDLE_GRACE: Duration = Duration::from_millis(250);

/// Time that a refused client has to read the refusal.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of bytes that are read and discarded from a refused client.
const MAX_LINGER_BYTES: usize = 1 << 20;

/// Serves requests until the client closes the connection, a limit is exceeded, or the server stops.
pub(crate) async fn serve_connection<H: Handler>(stream: TcpStream, context: ConnectionContext<H>) {
    let context = Arc::new(context);
    let limits = context.limits.clone();
    let io = LimitedStream::new(stream, context.state.clone(), &limits);
    let service = service_fn(|req| {
        let context = context.clone();
        // Before the request is handled, since hyper may already read its body.
        context.state.begin_exchange();
        Box::pin(async move { Ok::<_, Infallible>(context.handle(req).await) })
    });
    let mut conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_headers(MAX_HEADERS)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES) + MIN_BUFFER_BYTES)
        .serve_connection(TokioIo::new(io), service);
    let stopping = async {
        context.stop.cancelled().await;
        sleep(IDLE_GRACE).await;
    };
    let result = tokio::select! {
        result = poll_fn(|cx| conn.poll_without_shutdown(cx)) => Some(result),
        () = stopping => None,
    };
    let result = match result {
        Some(result) => result,
        None => {
            Pin::new(&mut conn).graceful_shutdown();
            poll_fn(|cx| conn.poll_without_shutdown(cx)).await
        }
    };
    let stream = conn.into_parts().io.into_inner().into_inner();
    end_connection(stream, &context, result).await;
}

async fn end_connection<H: Handler>(
    mut stream: TcpStream,
    context: &ConnectionContext<H>,
    result: Result<(), hyper::Error>,
) {
    if let Some(reason) = result.err().and_then(|_| refusal_reason(context)) {
        send_refusal(stream, context.handler.refuse(reason)).await;
    } else if context.state.is_refused() {
        close_lingering(stream).await;
    } else {
        let _ = timeout(LINGER_TIMEOUT, stream.shutdown()).await;
    }
}

/// Returns the reason to send to the client of a failed connection, if a limit on its headers was exceeded.
fn refusal_reason<H: Handler>(context: &ConnectionContext<H>) -> Option<RefusalReason> {
    if context.state.are_headers_too_large() {
        let limit_bytes = context.limits.header_bytes;
        return Some(RefusalReason::HeadersTooLarge { limit_bytes });
    }
    if context.state.is_header_timed_out() && context.state.header_bytes() > 0 {
        let limit_ms = context.limits.header_timeout.as_millis() as u64;
        return Some(RefusalReason::Timeout { limit_ms });
    }
    None
}

/// Writes a refusal, and then closes the connection so that the client can read it.
pub(crate) async fn send_refusal(mut stream: TcpStream, mut res: Response<Bytes>) {
    set_connection_close(&mut res);
    let written = timeout(LINGER_TIMEOUT, stream.write_all(&encode_response(&res))).await;
    if let Ok(Ok(())) = written {
        close_lingering(stream).await;
    }
}

/// Closes the write side, then reads and discards input for a limited time, since closing with unread input would
/// reset the connection before the client has read the answer.
async fn close_lingering(mut stream: TcpStream) {
    let discard_input = async {
        stream.shutdown().await?;
        let mut buf = [0; 4096];
        let mut discarded_bytes = 0;
        while discarded_bytes < MAX_LINGER_BYTES {
            match stream.read(&mut buf).await? {
                0 => break,
                count => discarded_bytes += count,
            }
        }
        Ok::<_, std::io::Error>(())
    };
    let _ = timeout(LINGER_TIMEOUT, discard_input).await;
}

fn encode_response(res: &Response<Bytes>) -> Vec<u8> {
    let status = res.status();
    let reason = status.canonical_reason().unwrap_or("Refused");
    let mut buf = format!("HTTP/1.1 {} {reason}\r\n", status.as_str()).into_bytes();
    for (name, value) in res.headers() {
        if name == CONTENT_LENGTH {
            continue;
        }
        buf.extend_from_slice(name.as_str().as_bytes());
        buf.extend_from_slice(b": ");
        buf.extend_from_slice(value.as_bytes());
        buf.extend_from_slice(b"\r\n");
    }
    buf.extend_from_slice(format!("content-length: {}\r\n\r\n", res.body().len()).as_bytes());
    buf.extend_from_slice(res.body());
    buf
}
