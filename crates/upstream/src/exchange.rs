//! Sending of a request and receiving of its answer.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use ids::RequestId;
use tokio::sync::SemaphorePermit;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::Answer;
use crate::AnswerHead;
use crate::DispatchError;
use crate::NotRunReason;
use crate::Request;
use crate::UpstreamClient;
use crate::head::set_deadline;
use crate::head::strip_internal_headers;
use crate::in_flight_request::InFlightRequest;

/// Timeout for reading the body of a refusal. The connection is reused only if the body is complete by then.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(20);

/// A request in the form in which it is sent.
type HttpRequest = http::Request<Full<Bytes>>;

/// Context of one request and its answer, independent of the connection.
pub(crate) struct Exchange<'a> {
    client: &'a UpstreamClient,
    deadline: Instant,
    idempotent: bool,
    is_head: bool,
    max_idle_time: Duration,
    request_id: RequestId,
    response_header_timeout: Option<Duration>,
}

/// Error of one attempt to send a request and receive its answer.
enum ExchangeError {
    /// An idempotent request was sent over a reused connection, which broke before an answer's headers arrived.
    LostOnIdleConnection(String),
    /// Any other error.
    Dispatch(DispatchError),
}

impl ExchangeError {
    fn into_dispatch_error(self) -> DispatchError {
        match self {
            Self::LostOnIdleConnection(reason) => DispatchError::ConnectionLost(reason),
            Self::Dispatch(error) => error,
        }
    }
}

impl From<DispatchError> for ExchangeError {
    fn from(error: DispatchError) -> Self {
        Self::Dispatch(error)
    }
}

/// Error of sending a request over a connection.
enum SendError {
    /// The connection had already closed. Holds the unsent request and the reason.
    Closed(Box<HttpRequest>, String),
    /// The request may have been sent.
    Failed(DispatchError),
}

impl<'a> Exchange<'a> {
    pub(crate) fn new(client: &'a UpstreamClient, req: &Request, deadline: Instant) -> Self {
        let settings = client.settings();
        let max_idle_time = if req.idempotent {
            settings.idle_timeout
        } else {
            settings.non_idempotent_idle_timeout
        };
        Self {
            client,
            deadline,
            idempotent: req.idempotent,
            is_head: req.method == "HEAD",
            max_idle_time,
            request_id: req.request_id.clone(),
            response_header_timeout: req.response_header_timeout,
        }
    }

    /// Sends the request, over another connection if the first has closed, and receives the answer.
    ///
    /// An upstream may close an idle connection while a request is in flight. It is then unknown whether the request
    /// ran, so it is sent once more only if it is idempotent.
    pub(crate) async fn run(&self, req: HttpRequest) -> Result<Answer, DispatchError> {
        let retry_copy = self.idempotent.then(|| req.clone());
        match (self.run_once(req, self.max_idle_time).await, retry_copy) {
            (Err(ExchangeError::LostOnIdleConnection(reason)), Some(retry_copy)) => {
                if !self.client.repeat_request() {
                    return Err(DispatchError::ConnectionLost(reason));
                }
                let retried = self.run_once(retry_copy, Duration::ZERO).await;
                retried.map_err(|error| match error.into_dispatch_error() {
                    error if error.is_not_run() => DispatchError::ConnectionLost(reason),
                    error => error,
                })
            }
            (result, _) => result.map_err(ExchangeError::into_dispatch_error),
        }
    }

    async fn run_once(
        &self,
        mut req: HttpRequest,
        max_idle_time: Duration,
    ) -> Result<Answer, ExchangeError> {
        loop {
            self.time_until_deadline()?;
            let connecting = self
                .client
                .acquire_connection(max_idle_time, &self.request_id);
            let conn = timeout_at(self.deadline.into(), connecting)
                .await
                .map_err(|_| DispatchError::NotSent("no connection in time".to_owned()))??;
            let is_new = !conn.has_answered;
            let mut in_flight =
                InFlightRequest::new(self.client.clone(), self.request_id.clone(), conn);
            match self.send(&mut in_flight, req).await {
                Ok(res) => return Ok(self.receive(in_flight, res).await?),
                Err(SendError::Closed(_, reason)) if is_new => {
                    return Err(DispatchError::NotSent(reason).into());
                }
                Err(SendError::Failed(DispatchError::ConnectionLost(reason)))
                    if !is_new && self.idempotent =>
                {
                    in_flight.disarm();
                    return Err(ExchangeError::LostOnIdleConnection(reason));
                }
                Err(SendError::Closed(unsent, _)) => req = *unsent,
                Err(SendError::Failed(error)) => return Err(error.into()),
            }
        }
    }

    /// Returns the time until the deadline, after which nothing may be sent.
    fn time_until_deadline(&self) -> Result<Duration, DispatchError> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            let reason = "the deadline has passed".to_owned();
            return Err(DispatchError::NotSent(reason));
        }
        Ok(remaining)
    }

    async fn send(
        &self,
        in_flight: &mut InFlightRequest,
        mut req: HttpRequest,
    ) -> Result<Response<Incoming>, SendError> {
        let remaining = self.time_until_deadline().map_err(|error| {
            in_flight.disarm();
            SendError::Failed(error)
        })?;
        let dialect = &self.client.settings().dialect;
        set_deadline(req.headers_mut(), &dialect.deadline_ms, remaining);
        let header_timeout = remaining.min(self.response_header_timeout.unwrap_or(remaining));
        let sending = in_flight.conn.send(req);
        match timeout(header_timeout, sending).await {
            Ok(Ok(res)) => Ok(res),
            Ok(Err(mut error)) => match error.take_message() {
                Some(req) => {
                    in_flight.disarm();
                    let reason = error.into_error().to_string();
                    Err(SendError::Closed(Box::new(req), reason))
                }
                None => {
                    let reason = error.into_error().to_string();
                    Err(SendError::Failed(DispatchError::ConnectionLost(reason)))
                }
            },
            Err(_) => {
                in_flight.close_idle_since_sent(self.client);
                Err(SendError::Failed(DispatchError::NoAnswer))
            }
        }
    }

    async fn receive(
        &self,
        mut in_flight: InFlightRequest,
        res: Response<Incoming>,
    ) -> Result<Answer, DispatchError> {
        self.check_request_id(res.headers())?;
        check_status(res.status())?;
        let head = self.begin_answer(&res);
        if let Some(not_run) = self.parse_not_run(&res) {
            in_flight.disarm();
            let body = self.read_body(res.into_body());
            if let Ok(Ok(_)) = timeout(REFUSAL_BODY_TIMEOUT, body).await {
                self.end_answer(head.as_ref());
                if in_flight.conn.record_refusal(&self.request_id) {
                    in_flight.release_connection(self.client);
                }
            }
            return Err(DispatchError::NotRun(not_run));
        }
        self.check_framing(&res)?;
        let (mut parts, body) = res.into_parts();
        let body = timeout_at(self.deadline.into(), self.read_body(body))
            .await
            .map_err(|_| DispatchError::TimedOut)??;
        self.end_answer(head.as_ref());
        in_flight.release_connection(self.client);
        strip_internal_headers(&mut parts.headers, &self.client.settings().dialect);
        Ok(Answer {
            body,
            headers: parts.headers,
            status: parts.status,
        })
    }

    /// Reads what an answer states about the upstream, unless it may come from another upstream at the same address.
    fn begin_answer(&self, res: &Response<Incoming>) -> Option<AnswerHead> {
        let is_misdirected = res.status() == StatusCode::MISDIRECTED_REQUEST;
        (!is_misdirected).then(|| self.client.begin_answer(res.headers()))
    }

    fn end_answer(&self, head: Option<&AnswerHead>) {
        if let Some(head) = head {
            self.client.end_answer(head);
        }
    }

    /// Returns the reason why the upstream did not run the request, if the answer states that it did not.
    fn parse_not_run(&self, res: &Response<Incoming>) -> Option<NotRunReason> {
        let header = res.headers().get(&self.client.settings().dialect.not_run);
        if res.status() == StatusCode::MISDIRECTED_REQUEST {
            return Some(NotRunReason::Fence);
        }
        let reason = String::from_utf8_lossy(header?.as_bytes());
        Some(NotRunReason::parse(&reason))
    }

    fn check_request_id(&self, headers: &HeaderMap) -> Result<(), DispatchError> {
        let mut ids = headers
            .get_all(&self.client.settings().dialect.request_id)
            .iter();
        let id = ids.next().map_or(&[][..], |id| id.as_bytes());
        if id != self.request_id.as_bytes() || ids.next().is_some() {
            let id = String::from_utf8_lossy(id).into_owned();
            return Err(DispatchError::MismatchedAnswer(id));
        }
        Ok(())
    }

    /// Rejects an answer that is delimited only by the end of its connection, since it may be incomplete.
    fn check_framing(&self, res: &Response<Incoming>) -> Result<(), DispatchError> {
        let headers = res.headers();
        let is_framed =
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        let is_empty = matches!(
            res.status(),
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
        if is_framed || is_empty || self.is_head {
            return Ok(());
        }
        Err(DispatchError::Truncated("it has no length".to_owned()))
    }

    async fn read_body(&self, mut body: Incoming) -> Result<Bytes, DispatchError> {
        let limit_bytes = self.client.settings().max_answer_bytes;
        let too_large = || DispatchError::TooLarge { limit_bytes };
        if body.size_hint().lower() > limit_bytes as u64 {
            return Err(too_large());
        }
        let mut reserved = self.reserve_bytes(0)?;
        let mut buf = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| DispatchError::Truncated(error.to_string()))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if buf.len() + data.len() > limit_bytes {
                return Err(too_large());
            }
            reserved.merge(self.reserve_bytes(data.len())?);
            buf.extend_from_slice(&data);
        }
        Ok(buf.freeze())
    }

    /// Reserves memory for bytes of an answer, until the answer is complete or dropped.
    fn reserve_bytes(&self, bytes: usize) -> Result<SemaphorePermit<'_>, DispatchError> {
        let limit_bytes = self.client.settings().max_total_answer_bytes;
        let no_memory = || DispatchError::NoMemory { limit_bytes };
        let bytes = u32::try_from(bytes).map_err(|_| no_memory())?;
        let permits = self.client.answer_bytes().try_acquire_many(bytes);
        permits.map_err(|_| no_memory())
    }
}

/// Rejects a status that no final answer may have. hyper accepts 101 and all statuses from 600 to 999.
fn check_status(status: StatusCode) -> Result<(), DispatchError> {
    match status.as_u16() {
        200..=599 => Ok(()),
        status => Err(DispatchError::InvalidStatus(status)),
    }
}
