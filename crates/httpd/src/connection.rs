//! One connection of a client.

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
use crate::exchange::Exchange;
use crate::exchange::close;
use crate::guarded_stream::GuardedStream;

/// Smallest read buffer that hyper accepts, in bytes.
const MINIMUM_BUFFER_BYTES: usize = 8192;

/// Time that an idle connection stays open after the server stops, for requests already on their way.
const IDLE_GRACE: Duration = Duration::from_millis(250);

/// Time that a refused client has to read its refusal.
const LINGER: Duration = Duration::from_secs(1);

/// Bytes that a refused client may still send while it reads its refusal.
const LINGER_BYTES: usize = 1 << 20;

/// Serves requests until the client closes, a limit is exceeded, or the server stops.
pub(crate) async fn serve_connection<H: Handler>(stream: TcpStream, exchange: Exchange<H>) {
    let exchange = Arc::new(exchange);
    let limits = exchange.limits.clone();
    let io = GuardedStream::new(stream, exchange.phase.clone(), &limits);
    let service = service_fn(|req| {
        let exchange = exchange.clone();
        Box::pin(async move { Ok::<_, Infallible>(exchange.run(req).await) })
    });
    let mut conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.header_bytes.max(MINIMUM_BUFFER_BYTES) + MINIMUM_BUFFER_BYTES)
        .serve_connection(TokioIo::new(io), service);
    let stopping = async {
        exchange.stop.cancelled().await;
        sleep(IDLE_GRACE).await;
    };
    let ended = tokio::select! {
        ended = poll_fn(|cx| conn.poll_without_shutdown(cx)) => Some(ended),
        () = stopping => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            Pin::new(&mut conn).graceful_shutdown();
            poll_fn(|cx| conn.poll_without_shutdown(cx)).await
        }
    };
    let stream = conn.into_parts().io.into_inner().into_inner();
    end_connection(stream, &exchange, ended).await;
}

async fn end_connection<H: Handler>(
    mut stream: TcpStream,
    exchange: &Exchange<H>,
    ended: Result<(), hyper::Error>,
) {
    if let Some(refused) = ended.err().and_then(|_| refusal(exchange)) {
        refuse(stream, exchange.handler.refuse(refused)).await;
    } else if exchange.phase.is_refused() {
        linger(stream).await;
    } else {
        let _ = timeout(LINGER, stream.shutdown()).await;
    }
}

/// Returns the refusal that the client of a failed connection is still to be told.
fn refusal<H: Handler>(exchange: &Exchange<H>) -> Option<RefusalReason> {
    let head_bytes = exchange.phase.head_bytes();
    let limit_bytes = exchange.limits.header_bytes;
    if head_bytes > limit_bytes {
        return Some(RefusalReason::HeadersTooLarge { limit_bytes });
    }
    if exchange.phase.is_head_timed_out() && head_bytes > 0 {
        let limit_ms = exchange.limits.header_timeout.as_millis() as u64;
        return Some(RefusalReason::Timeout { limit_ms });
    }
    None
}

/// Writes a refusal, and gives the client a short time to read it.
pub(crate) async fn refuse(mut stream: TcpStream, mut res: Response<Bytes>) {
    close(&mut res);
    let written = timeout(LINGER, stream.write_all(&encode(&res))).await;
    if let Ok(Ok(())) = written {
        linger(stream).await;
    }
}

/// Closes a connection such that unread input does not destroy the answer on its way.
async fn linger(mut stream: TcpStream) {
    let drain = async {
        stream.shutdown().await?;
        let mut buf = [0; 4096];
        let mut drained = 0;
        while drained < LINGER_BYTES {
            match stream.read(&mut buf).await? {
                0 => break,
                bytes => drained += bytes,
            }
        }
        Ok::<_, std::io::Error>(())
    };
    let _ = timeout(LINGER, drain).await;
}

fn encode(res: &Response<Bytes>) -> Vec<u8> {
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
