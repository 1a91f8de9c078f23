//! Client that sends single requests.

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

/// HTTP client that sends requests to random entries.
#[derive(Debug)]
pub(crate) struct Client {
    pub(crate) entries: Vec<SocketAddr>,
    pub(crate) http: HyperClient<HttpConnector, Full<Bytes>>,
    pub(crate) timeout: Duration,
}

/// Request to send, the same on every attempt.
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
    /// Sends a request to a random entry, and returns what the caller observed.
    pub(crate) async fn send(
        &self,
        stream: &RequestStream,
        request: &LoadRequest,
        rng: &mut impl Rng,
    ) -> Observation {
        let entry = self.entries[rng.random_range(0..self.entries.len())];
        let req = build_request(entry, stream, request);
        let mut observation = start_observation(stream, request);
        let response = time::timeout(self.timeout, self.exchange(req)).await;
        if let Ok(Some(response)) = response {
            observation.answered_us = Some(monotonic_us());
            record_response(&mut observation, &response);
        }
        observation
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Option<Response<Bytes>> {
        let response = self.http.request(req).await.ok()?;
        let (parts, body) = Response::<Incoming>::into_parts(response);
        let body = body.collect().await.ok()?.to_bytes();
        Some(Response::from_parts(parts, body))
    }
}

fn build_request(
    entry: SocketAddr,
    stream: &RequestStream,
    request: &LoadRequest,
) -> Request<Full<Bytes>> {
    let uri = format!("http://{entry}{}", stream.path_and_query());
    let mut req = Request::builder().method(stream.method.as_str()).uri(uri);
    if let Some(tenant_key) = &stream.tenant_key {
        req = req.header(AUTHORIZATION, format!("Bearer {tenant_key}"));
    }
    if let Some(key) = &request.key {
        req = req.header("skylark-key", key);
    }
    if let Some(key) = &request.idempotency_key {
        req = req.header("idempotency-key", key);
    }
    if let Some(deadline_ms) = stream.deadline_ms {
        req = req.header("skylark-deadline-ms", deadline_ms);
    }
    if stream.direct {
        req = req.header("skylark-request-id", Uuid::new_v4().to_string());
    }
    req.body(Full::from(request.body.clone()))
        .expect("the stream's method, path and keys are valid in HTTP")
}

fn start_observation(stream: &RequestStream, request: &LoadRequest) -> Observation {
    let has_body = !request.body.is_empty();
    Observation {
        answer: None,
        answered_us: None,
        body_hash: has_body.then(|| blake3::hash(request.body.as_bytes()).to_hex().to_string()),
        due_us: request.due_us,
        idempotency_key: request.idempotency_key.clone(),
        idempotent: stream.is_idempotent(),
        key: request.key.clone(),
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

fn record_response(observation: &mut Observation, response: &Response<Bytes>) {
    observation.status = Some(response.status().as_u16());
    let id = response.headers().get("skylark-request-id");
    observation.request_id = id.and_then(|id| id.to_str().ok()).map(str::to_owned);
    if observation.is_acknowledged() {
        observation.answer = serde_json::from_slice(response.body()).ok();
    } else if let Ok(body) = serde_json::from_slice::<RefusalBody>(response.body()) {
        observation.outcome = Some(body.error.outcome);
        observation.reason = Some(body.error.reason);
        observation.retry_after_ms = body.error.retry_after_ms;
        observation.request_id = observation.request_id.take().or(body.error.request_id);
    }
}
