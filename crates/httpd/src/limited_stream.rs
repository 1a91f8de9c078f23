//! A TCP stream with limits on headers and on the time to write an answer.

use std::io;
use std::io::ErrorKind;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio::time::sleep;

use crate::Limits;
use crate::connection_state::ConnectionState;

/// Maximum number of bytes that one byte of a body may take. A chunk with a single byte takes 6, and hyper reads leading
/// zeros in the size of a chunk without end.
const MAX_FRAMING_FACTOR: usize = 8;

/// TCP stream whose reads fail when headers exceed their size limit or timeout, or a body its size limit, and whose writes
/// fail when the client reads its answer too slowly.
#[derive(Debug)]
pub(crate) struct LimitedStream {
    answer_timeout: Duration,
    header_timer: Option<Pin<Box<Sleep>>>,
    /// Maximum number of bytes of a body and its trailers with their framing.
    max_body_bytes: usize,
    max_header_bytes: usize,
    header_timeout: Duration,
    state: Arc<ConnectionState>,
    write_timer: Option<Pin<Box<Sleep>>>,
    stream: TcpStream,
}

impl LimitedStream {
    pub(crate) fn new(stream: TcpStream, state: Arc<ConnectionState>, limits: &Limits) -> Self {
        Self {
            answer_timeout: limits.answer_timeout,
            header_timer: None,
            max_body_bytes: limits.body_bytes * MAX_FRAMING_FACTOR + limits.header_bytes,
            max_header_bytes: limits.header_bytes,
            header_timeout: limits.header_timeout,
            state,
            write_timer: None,
            stream,
        }
    }

    pub(crate) fn into_inner(self) -> TcpStream {
        self.stream
    }

    /// Fails when headers exceed their timeout, and is pending otherwise.
    fn poll_header_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.state.is_awaiting_headers() {
            self.header_timer = None;
            return Poll::Pending;
        }
        let timeout = self.header_timeout;
        let timer = self
            .header_timer
            .get_or_insert_with(|| Box::pin(sleep(timeout)));
        ready!(timer.as_mut().poll(cx));
        self.state.set_header_timed_out();
        Poll::Ready(Err(ErrorKind::TimedOut.into()))
    }

    /// Reads bytes of a body, and fails when they exceed what the largest body may take.
    fn poll_read_body(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let received = buf.filled().len() - before;
        if self.state.add_body_bytes(received) > self.max_body_bytes {
            return Poll::Ready(Err(ErrorKind::FileTooLarge.into()));
        }
        Poll::Ready(Ok(()))
    }

    fn poll_write_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let timeout = self.answer_timeout;
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep(timeout)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Some(header_bytes) = self.state.incomplete_header_bytes() else {
            return self.poll_read_body(cx, buf);
        };
        let remaining = self.max_header_bytes.saturating_sub(header_bytes);
        if remaining == 0 {
            self.state.set_headers_too_large();
            return Poll::Ready(Err(ErrorKind::FileTooLarge.into()));
        }
        // Reads no more than complete headers may hold, so that the bytes of a body never count as headers.
        let length = remaining.min(buf.remaining());
        let mut headers = ReadBuf::new(buf.initialize_unfilled_to(length));
        match Pin::new(&mut self.stream).poll_read(cx, &mut headers) {
            Poll::Pending => return self.poll_header_timeout(cx),
            Poll::Ready(read) => read?,
        }
        let received = headers.filled().len();
        buf.advance(received);
        self.state.add_header_bytes(received);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.stream).poll_write(cx, buf) {
            Poll::Pending => self.poll_write_timeout(cx),
            ready => ready,
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.write_timer = None;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.stream).poll_write_vectored(cx, bufs) {
            Poll::Pending => self.poll_write_timeout(cx),
            ready => ready,
        }
    }
}
