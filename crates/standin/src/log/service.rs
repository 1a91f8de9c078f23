//! HTTP endpoints of the log stand-in.

use std::collections::BTreeMap;
use std::future;
use std::net::SocketAddr;
use std::str;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use ids::Offset;
use serde_json::json;
use tokio::sync::watch;
use tokio::task;
use tokio::time;

use crate::LogFaults;
use crate::LogOptions;
use crate::http::ConnectionId;
use crate::http::Handler;
use crate::http::HttpResponse;
use crate::http::json_response;
use crate::http::message_response;
use crate::http::parse_json;
use crate::http::query_parameter;
use crate::lock::lock;
use crate::log::RateLimiter;
use crate::log::Records;

/// Maximum size of a record, in bytes.
const MAX_RECORD_BYTES: usize = 262_144;

/// Maximum number of records returned by a read without `max`.
const DEFAULT_MAX_RECORDS: usize = 1000;

/// Maximum time that a read waits for a record, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// HTTP handler and state of a log stand-in.
pub(crate) struct LogService {
    faults: Mutex<LogFaults>,
    next_offset: watch::Sender<Offset>,
    rate_limiter: Mutex<RateLimiter>,
    records: Mutex<Records>,
    rewrites: BTreeMap<SocketAddr, SocketAddr>,
}

impl LogService {
    pub(crate) fn new(options: &LogOptions) -> Self {
        Self {
            faults: Mutex::new(LogFaults::default()),
            next_offset: watch::Sender::new(1),
            rate_limiter: Mutex::new(RateLimiter::new(options.appends_per_second)),
            records: Mutex::new(Records::new(options.retain)),
            rewrites: options.rewrites.clone(),
        }
    }

    /// Replaces the injected faults.
    pub(crate) fn set_faults(&self, faults: LogFaults) {
        *lock(&self.faults) = faults;
    }

    /// Appends a record, ignoring faults and limits, and returns its offset.
    pub(crate) fn append(&self, body: &str) -> Offset {
        let mut records = lock(&self.records);
        let offset = records.append(body);
        self.next_offset.send_replace(records.next_offset());
        offset
    }

    fn serve_set_faults(&self, body: &Bytes) -> HttpResponse {
        match parse_json(body) {
            Ok(faults) => {
                self.set_faults(faults);
                message_response(StatusCode::OK, "the faults are in force")
            }
            Err(response) => *response,
        }
    }

    async fn serve(self: Arc<Self>, req: Request<Bytes>) -> Option<HttpResponse> {
        let faults = lock(&self.faults).clone();
        if faults.silent {
            future::pending::<()>().await;
        }
        if faults.slow_ms > 0 {
            time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.down {
            return Some(message_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "the service is down",
            ));
        }
        match *req.method() {
            Method::POST => self.serve_append(req.body()),
            Method::GET => Some(self.serve_read(&req).await),
            _ => Some(message_response(
                StatusCode::METHOD_NOT_ALLOWED,
                "use POST to append and GET to read",
            )),
        }
    }

    fn serve_append(&self, body: &Bytes) -> Option<HttpResponse> {
        if body.len() > MAX_RECORD_BYTES {
            return Some(message_response(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the record is too large",
            ));
        }
        let Ok(text) = str::from_utf8(body) else {
            return Some(message_response(
                StatusCode::BAD_REQUEST,
                "the record is not UTF-8 text",
            ));
        };
        if !lock(&self.rate_limiter).try_acquire(Instant::now()) {
            return Some(message_response(
                StatusCode::TOO_MANY_REQUESTS,
                "the rate of appends is exceeded",
            ));
        }
        let offset = self.append(&self.rewrite_addresses(text));
        if lock(&self.faults).consume_lost_answer() {
            return None;
        }
        Some(json_response(StatusCode::OK, &json!({ "offset": offset })))
    }

    fn rewrite_addresses(&self, text: &str) -> String {
        let mut text = text.to_owned();
        for (from, to) in &self.rewrites {
            text = text.replace(&format!("\"{from}\""), &format!("\"{to}\""));
        }
        text
    }

    async fn serve_read(&self, req: &Request<Bytes>) -> HttpResponse {
        let Some(from) = numeric_parameter(req, "from", 1) else {
            return message_response(StatusCode::BAD_REQUEST, "`from` is not a number");
        };
        let Some(max) = numeric_parameter(req, "max", DEFAULT_MAX_RECORDS as u64) else {
            return message_response(StatusCode::BAD_REQUEST, "`max` is not a number");
        };
        let Some(wait_ms) = numeric_parameter(req, "wait_ms", 0) else {
            return message_response(StatusCode::BAD_REQUEST, "`wait_ms` is not a number");
        };
        self.wait_for_record(from, wait_ms.min(MAX_WAIT_MS)).await;
        if lock(&self.faults).down {
            return message_response(StatusCode::SERVICE_UNAVAILABLE, "the service is down");
        }
        let max = usize::try_from(max).unwrap_or(usize::MAX);
        match lock(&self.records).read(from, max) {
            Ok(page) => json_response(StatusCode::OK, &page),
            Err(first) => json_response(StatusCode::GONE, &json!({ "first": first })),
        }
    }

    async fn wait_for_record(&self, from: Offset, wait_ms: u64) {
        let mut next_offset = self.next_offset.subscribe();
        let wait = Duration::from_millis(wait_ms);
        // The result is ignored because the following read shows whether the record has arrived.
        let _ = time::timeout(wait, next_offset.wait_for(|next| *next > from)).await;
    }
}

impl Handler for LogService {
    async fn handle(self: Arc<Self>, _: ConnectionId, req: Request<Bytes>) -> Option<HttpResponse> {
        match req.uri().path() {
            "/faults" if req.method() == Method::POST => Some(self.serve_set_faults(req.body())),
            "/faults" => Some(json_response(StatusCode::OK, &*lock(&self.faults))),
            // Runs in its own task so that the request takes effect even after the client disconnects.
            "/v1/records" => task::spawn(self.serve(req)).await.ok().flatten(),
            _ => Some(message_response(
                StatusCode::NOT_FOUND,
                "see docs/INTERFACES.md",
            )),
        }
    }
}

fn numeric_parameter(req: &Request<Bytes>, name: &str, default: u64) -> Option<u64> {
    query_parameter(req, name).map_or(Some(default), |text| text.parse().ok())
}
