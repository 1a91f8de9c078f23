//! The body of an answer that is being sent to the client.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::byte_reservation::ByteReservation;
use crate::connection_state::ConnectionState;

/// A complete answer, whose bytes stay reserved until it is written. Drop ends the exchange.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    data: Option<Bytes>,
    state: Arc<ConnectionState>,
    _reservation: ByteReservation,
}

impl AnswerBody {
    pub(crate) fn new(
        data: Bytes,
        reservation: ByteReservation,
        state: Arc<ConnectionState>,
    ) -> Self {
        Self {
            data: Some(data).filter(|data| !data.is_empty()),
            state,
            _reservation: reservation,
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.data.take().map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.as_ref().map_or(0, Bytes::len) as u64)
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.state.end_exchange();
    }
}
