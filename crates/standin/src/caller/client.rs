//! One request on its way.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::header::AUTHORIZATION;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use rand::Rng;
use rand::RngExt;
use serde::Deserialize;
use tokio::time;
use uuid::Uuid;

use crate::Observation;
use crate::RequestStream;
use crate::monotonic_us;

/// Connections to all entries.
#[derive(Debug)]
pub(crate) struct Client {
    pub(crate) entries: Vec<SocketAddr>,
    pub(crate) http: HyperClient<HttpConnector, Full<Bytes>>,
    pub(crate) timeout: Duration,
}

/// What is sent, the same whenever it is repeated.
#[derive(Clone, Debug)]
pub(crate) struct LoadRequest {
    pub(crate) body: String,
    pub(crate) due_us: u64,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) key: Option<String>,
}

#[derive(Debug, Deserialize)]
struct RefusalBody {
    error: Refusal,
}

#[derive(Debug, Deserialize)]
struct Refusal {
    outcome: String,
    reason: String,
    request_id: Option<String>,
    retry_after_ms: Option<u64>,
}

impl Client {
    /// Sends a request to an entry at random, and returns what became of it.
    pub(crate) async fn send(
        &self,
        stream: &RequestStream,
        attempt: &LoadRequest,
        rng: &mut impl Rng,
    ) -> Observation {
        let entry = self.entries[rng.random_range(0..self.entries.len())];
        let req = request(entry, stream, attempt);
        let mut observation = observation(stream, attempt);
        let answer = time::timeout(self.timeout, self.exchange(req)).await;
        if let Ok(Some(answer)) = answer {
            observation.answered_us = Some(monotonic_us());
            note_answer(&mut observation, &answer);
        }
        observation
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Option<Response<Bytes>> {
        let answer = self.http.request(req).await.ok()?;
        let (head, body) = Response::<Incoming>::into_parts(answer);
        let body = body.collect().await.ok()?.to_bytes();
        Some(Response::from_parts(head, body))
    }
}

fn request(
    entry: SocketAddr,
    stream: &RequestStream,
    attempt: &LoadRequest,
) -> Request<Full<Bytes>> {
    let uri = format!("http://{entry}{}", stream.path_and_query());
    let mut req = Request::builder().method(stream.method.as_str()).uri(uri);
    if let Some(tenant_key) = &stream.tenant_key {
        req = req.header(AUTHORIZATION, format!("Bearer {tenant_key}"));
    }
    if let Some(key) = &attempt.key {
        req = req.header("skylark-key", key);
    }
    if let Some(key) = &attempt.idempotency_key {
        req = req.header("idempotency-key", key);
    }
    if let Some(deadline_ms) = stream.deadline_ms {
        req = req.header("skylark-deadline-ms", deadline_ms);
    }
    if stream.direct {
        req = req.header("skylark-request-id", Uuid::new_v4().to_string());
    }
    req.body(Full::from(attempt.body.clone()))
        .expect("the stream's method, path and keys are valid in HTTP")
}

fn observation(stream: &RequestStream, attempt: &LoadRequest) -> Observation {
    let has_body = !attempt.body.is_empty();
    Observation {
        answer: None,
        answered_us: None,
        body_hash: has_body.then(|| blake3::hash(attempt.body.as_bytes()).to_hex().to_string()),
        due_us: attempt.due_us,
        idempotency_key: attempt.idempotency_key.clone(),
        idempotent: stream.is_idempotent(),
        key: attempt.key.clone(),
        outcome: None,
        reason: None,
        request_id: None,
        retry_after_ms: None,
        sent_us: monotonic_us(),
        service: stream.service.clone(),
        status: None,
        workspace: stream.workspace.clone(),
    }
}

fn note_answer(observation: &mut Observation, answer: &Response<Bytes>) {
    observation.status = Some(answer.status().as_u16());
    let id = answer.headers().get("skylark-request-id");
    observation.request_id = id.and_then(|id| id.to_str().ok()).map(str::to_owned);
    if observation.is_acknowledged() {
        observation.answer = serde_json::from_slice(answer.body()).ok();
    } else if let Ok(body) = serde_json::from_slice::<RefusalBody>(answer.body()) {
        observation.outcome = Some(body.error.outcome);
        observation.reason = Some(body.error.reason);
        observation.retry_after_ms = body.error.retry_after_ms;
        observation.request_id = observation.request_id.take().or(body.error.request_id);
    }
}
