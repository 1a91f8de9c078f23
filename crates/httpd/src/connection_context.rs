//! Reading and answering of the requests of a connection.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::Handler;
use crate::Limits;
use crate::RefusalReason;
use crate::RemoteAddress;
use crate::answer_body::AnswerBody;
use crate::byte_reservation::ByteReservation;
use crate::connection_state::ConnectionState;

/// Context that all requests of one connection share.
pub(crate) struct ConnectionContext<H> {
    pub(crate) handler: Arc<H>,
    pub(crate) held_bytes: Arc<AtomicUsize>,
    pub(crate) limits: Arc<Limits>,
    pub(crate) remote_address: RemoteAddress,
    pub(crate) state: Arc<ConnectionState>,
    pub(crate) stop: CancellationToken,
}

impl<H: Handler> ConnectionContext<H> {
    /// Reads a complete request and answers it.
    pub(crate) async fn handle(&self, req: Request<Incoming>) -> Response<AnswerBody> {
        let mut reservation = ByteReservation::new(self.held_bytes.clone());
        let mut res = match self.read_request(req, &mut reservation).await {
            Ok(req) => self.handler.handle(req).await,
            Err(reason) => self.refuse(reason),
        };
        if self.stop.is_cancelled() {
            set_connection_close(&mut res);
        }
        reservation.add(res.body().len());
        res.map(|data| AnswerBody::new(data, reservation, self.state.clone()))
    }

    fn refuse(&self, reason: RefusalReason) -> Response<Bytes> {
        self.state.set_refused();
        let mut res = self.handler.refuse(reason);
        set_connection_close(&mut res);
        res
    }

    async fn read_request(
        &self,
        req: Request<Incoming>,
        reservation: &mut ByteReservation,
    ) -> Result<Request<Bytes>, RefusalReason> {
        let (mut parts, body) = req.into_parts();
        parts.extensions.insert(self.remote_address);
        let limit = self.limits.request_timeout;
        let body = timeout(limit, self.read_body(body, reservation))
            .await
            .map_err(|_| RefusalReason::Timeout {
                limit_ms: limit.as_millis() as u64,
            })??;
        Ok(Request::from_parts(parts, body))
    }

    async fn read_body(
        &self,
        mut body: Incoming,
        reservation: &mut ByteReservation,
    ) -> Result<Bytes, RefusalReason> {
        let limit_bytes = self.limits.body_bytes;
        let too_large = RefusalReason::BodyTooLarge { limit_bytes };
        if body.size_hint().lower() > limit_bytes as u64 {
            return Err(too_large);
        }
        let mut buf = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| RefusalReason::BodyTruncated)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if buf.len() + data.len() > limit_bytes {
                return Err(too_large);
            }
            if !reservation.add_and_check(data.len(), self.limits.held_bytes) {
                return Err(RefusalReason::Busy);
            }
            buf.extend_from_slice(&data);
        }
        Ok(buf.freeze())
    }
}

/// Sets the header that announces the end of the connection, so that the client opens a new one.
pub(crate) fn set_connection_close(res: &mut Response<Bytes>) {
    res.headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}
