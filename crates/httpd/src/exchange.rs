//! One request and its answer.

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
use crate::answer_body::AnswerBody;
use crate::held::Held;
use crate::phase::Phase;

/// What the exchanges of one connection share.
pub(crate) struct Exchange<H> {
    pub(crate) handler: Arc<H>,
    pub(crate) held: Arc<AtomicUsize>,
    pub(crate) limits: Arc<Limits>,
    pub(crate) phase: Arc<Phase>,
    pub(crate) stop: CancellationToken,
}

impl<H: Handler> Exchange<H> {
    /// Reads a request as a whole and answers it.
    pub(crate) async fn run(&self, req: Request<Incoming>) -> Response<AnswerBody> {
        self.phase.begin_exchange();
        let mut held = Held::new(self.held.clone());
        let mut res = match self.read(req, &mut held).await {
            Ok(req) => self.handler.handle(req).await,
            Err(refused) => self.refuse(refused),
        };
        if self.stop.is_cancelled() {
            close(&mut res);
        }
        held.add(res.body().len());
        res.map(|data| AnswerBody::new(data, held, self.phase.clone()))
    }

    fn refuse(&self, refused: RefusalReason) -> Response<Bytes> {
        self.phase.refuse();
        let mut res = self.handler.refuse(refused);
        close(&mut res);
        res
    }

    async fn read(
        &self,
        req: Request<Incoming>,
        held: &mut Held,
    ) -> Result<Request<Bytes>, RefusalReason> {
        let (parts, body) = req.into_parts();
        let limit = self.limits.request_timeout;
        let body = timeout(limit, self.read_body(body, held))
            .await
            .map_err(|_| RefusalReason::Timeout {
                limit_ms: limit.as_millis() as u64,
            })??;
        Ok(Request::from_parts(parts, body))
    }

    async fn read_body(&self, mut body: Incoming, held: &mut Held) -> Result<Bytes, RefusalReason> {
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
            if !held.try_add(data.len(), self.limits.held_bytes) {
                return Err(RefusalReason::Busy);
            }
            buf.extend_from_slice(&data);
        }
        Ok(buf.freeze())
    }
}

/// Asks the client to open a new connection for its next request.
pub(crate) fn close(res: &mut Response<Bytes>) {
    res.headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}
