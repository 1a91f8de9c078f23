//! A TCP stream with a limit on the bytes that arrive.
//!
//! HTTP allows any number of interim answers (status 1xx) before an answer, and leading zeros of any number in the size of a
//! chunk. hyper reads both without end.

use std::io;
use std::io::ErrorKind;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Number of bytes that may still arrive on a connection. Shared between a [`BoundedStream`] and the connection that uses it.
#[derive(Clone, Debug)]
pub(crate) struct ReadAllowance {
    remaining: Arc<AtomicUsize>,
}

/// A TCP stream whose reads fail when the allowance is used up.
#[derive(Debug)]
pub(crate) struct BoundedStream {
    allowance: ReadAllowance,
    stream: TcpStream,
}

impl ReadAllowance {
    pub(crate) fn new(bytes: usize) -> Self {
        Self {
            remaining: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    /// Sets the number of bytes that may arrive from now on.
    pub(crate) fn set(&self, bytes: usize) {
        self.remaining.store(bytes, Ordering::Relaxed);
    }

    /// Subtracts bytes that have arrived, and reports whether they were within the allowance.
    fn subtract(&self, bytes: usize) -> bool {
        let remaining = self.remaining.load(Ordering::Relaxed);
        self.set(remaining.saturating_sub(bytes));
        bytes <= remaining
    }
}

impl BoundedStream {
    pub(crate) fn new(stream: TcpStream, allowance: ReadAllowance) -> Self {
        Self { allowance, stream }
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let received = buf.filled().len() - before;
        if self.allowance.subtract(received) {
            Poll::Ready(Ok(()))
        } else {
            Poll::Ready(Err(ErrorKind::FileTooLarge.into()))
        }
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
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
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}
