//! One request and its answer.

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
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::Answer;
use crate::DispatchError;
use crate::NotRunReason;
use crate::Request;
use crate::UpstreamClient;
use crate::flight::Flight;
use crate::head::set_deadline;
use crate::head::strip;

/// Time in which the rest of a refusal arrives, so that its connection can be used again.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(20);

/// A request as it goes over a connection.
type HttpRequest = http::Request<Full<Bytes>>;

/// What a request and its answer need besides a connection.
pub(crate) struct Exchange<'a> {
    client: &'a UpstreamClient,
    deadline: Instant,
    idempotent: bool,
    is_head: bool,
    max_age: Duration,
    request_id: RequestId,
    response_header_timeout: Option<Duration>,
}

/// Why a request has no answer.
enum Lost {
    /// It was sent over a connection that had been idle, and that broke before any part of an answer.
    OnIdleConnection(String),
    /// Any other reason.
    Otherwise(DispatchError),
}

impl Lost {
    fn into_error(self) -> DispatchError {
        match self {
            Self::OnIdleConnection(reason) => DispatchError::ConnectionLost(reason),
            Self::Otherwise(error) => error,
        }
    }
}

impl From<DispatchError> for Lost {
    fn from(error: DispatchError) -> Self {
        Self::Otherwise(error)
    }
}

/// Why sending failed.
enum SendError {
    /// The connection had closed before, and the request is still here.
    Closed(Box<HttpRequest>, String),
    /// The request may have been sent.
    Failed(DispatchError),
}

impl<'a> Exchange<'a> {
    pub(crate) fn new(client: &'a UpstreamClient, req: &Request, deadline: Instant) -> Self {
        let settings = client.settings();
        let max_age = if req.idempotent {
            settings.idle_timeout
        } else {
            settings.non_idempotent_idle_timeout
        };
        Self {
            client,
            deadline,
            idempotent: req.idempotent,
            is_head: req.method == "HEAD",
            max_age,
            request_id: req.request_id.clone(),
            response_header_timeout: req.response_header_timeout,
        }
    }

    /// Sends the request, over another connection if the first has closed, and receives the answer.
    ///
    /// An upstream may close an idle connection while a request is on its way. One that is idempotent is then sent once
    /// more, as nobody can tell whether it ran.
    pub(crate) async fn run(&self, req: HttpRequest) -> Result<Answer, DispatchError> {
        let copy = self.idempotent.then(|| req.clone());
        match (self.run_once(req, self.max_age).await, copy) {
            (Err(Lost::OnIdleConnection(reason)), Some(copy)) => {
                let again = self.run_once(copy, Duration::ZERO).await;
                again.map_err(|lost| match lost.into_error() {
                    error if error.is_not_run() => DispatchError::ConnectionLost(reason),
                    error => error,
                })
            }
            (ended, _) => ended.map_err(Lost::into_error),
        }
    }

    async fn run_once(&self, mut req: HttpRequest, max_age: Duration) -> Result<Answer, Lost> {
        loop {
            self.remaining()?;
            let connecting = self.client.connection(max_age);
            let conn = timeout_at(self.deadline.into(), connecting)
                .await
                .map_err(|_| DispatchError::NotSent("no connection in time".to_owned()))??;
            let is_new = !conn.has_answered;
            let mut flight = Flight::new(self.client.clone(), self.request_id.clone(), conn);
            match self.send(&mut flight, req).await {
                Ok(res) => return Ok(self.receive(flight, res).await?),
                Err(SendError::Closed(_, reason)) if is_new => {
                    return Err(DispatchError::NotSent(reason).into());
                }
                Err(SendError::Failed(DispatchError::ConnectionLost(reason)))
                    if !is_new && self.idempotent =>
                {
                    flight.disarm();
                    return Err(Lost::OnIdleConnection(reason));
                }
                Err(SendError::Closed(unsent, _)) => req = *unsent,
                Err(SendError::Failed(error)) => return Err(error.into()),
            }
        }
    }

    /// Returns the time until the deadline, behind which nothing may be sent.
    fn remaining(&self) -> Result<Duration, DispatchError> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            let reason = "the deadline has passed".to_owned();
            return Err(DispatchError::NotSent(reason));
        }
        Ok(remaining)
    }

    async fn send(
        &self,
        flight: &mut Flight,
        mut req: HttpRequest,
    ) -> Result<Response<Incoming>, SendError> {
        let remaining = self.remaining().map_err(|error| {
            flight.disarm();
            SendError::Failed(error)
        })?;
        let dialect = &self.client.settings().dialect;
        set_deadline(req.headers_mut(), &dialect.deadline_ms, remaining);
        let silence = remaining.min(self.response_header_timeout.unwrap_or(remaining));
        let sending = flight.conn.sender.try_send_request(req);
        match timeout(silence, sending).await {
            Ok(Ok(res)) => Ok(res),
            Ok(Err(mut error)) => match error.take_message() {
                Some(req) => {
                    flight.disarm();
                    let reason = error.into_error().to_string();
                    Err(SendError::Closed(Box::new(req), reason))
                }
                None => {
                    let reason = error.into_error().to_string();
                    Err(SendError::Failed(DispatchError::ConnectionLost(reason)))
                }
            },
            Err(_) => {
                flight.suspect_idle(self.client);
                Err(SendError::Failed(DispatchError::NoAnswer))
            }
        }
    }

    async fn receive(
        &self,
        mut flight: Flight,
        res: Response<Incoming>,
    ) -> Result<Answer, DispatchError> {
        self.check_id(res.headers())?;
        if let Some(not_run) = self.not_run(&res) {
            flight.disarm();
            let body = self.read_body(res.into_body());
            if let Ok(Ok(_)) = timeout(REFUSAL_TIMEOUT, body).await {
                flight.land(self.client);
            }
            return Err(DispatchError::NotRun(not_run));
        }
        self.check_framing(&res)?;
        let (mut parts, body) = res.into_parts();
        let body = timeout_at(self.deadline.into(), self.read_body(body))
            .await
            .map_err(|_| DispatchError::TimedOut)??;
        flight.land(self.client);
        strip(&mut parts.headers, &self.client.settings().dialect);
        Ok(Answer {
            body,
            headers: parts.headers,
            status: parts.status,
        })
    }

    /// Returns why the upstream did not run the request, if it states so.
    fn not_run(&self, res: &Response<Incoming>) -> Option<NotRunReason> {
        let stated = res.headers().get(&self.client.settings().dialect.not_run);
        if res.status() == StatusCode::MISDIRECTED_REQUEST {
            return Some(NotRunReason::Fence);
        }
        let reason = String::from_utf8_lossy(stated?.as_bytes());
        Some(NotRunReason::parse(&reason))
    }

    fn check_id(&self, headers: &HeaderMap) -> Result<(), DispatchError> {
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

    /// Refuses an answer that ends with its connection, since nothing tells whether it is whole.
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
        let mut buf = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| DispatchError::Truncated(error.to_string()))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if buf.len() + data.len() > limit_bytes {
                return Err(too_large());
            }
            buf.extend_from_slice(&data);
        }
        Ok(buf.freeze())
    }
}
