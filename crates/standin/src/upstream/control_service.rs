//! HTTP endpoints through which tests control an upstream stand-in.

use std::sync::Arc;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;

use crate::UpstreamFaults;
use crate::http::ConnectionId;
use crate::http::Handler;
use crate::http::HttpResponse;
use crate::http::json_response;
use crate::http::message_response;
use crate::http::parse_json;
use crate::lock::lock;
use crate::upstream::UpstreamService;

/// Serves faults, executions and counters on a separate address that faults do not affect.
#[derive(Debug)]
pub(crate) struct ControlService {
    service: Arc<UpstreamService>,
}

impl ControlService {
    pub(crate) fn new(service: Arc<UpstreamService>) -> Self {
        Self { service }
    }

    fn serve_records(&self) -> HttpResponse {
        match lock(&self.service.state).recorder.executions() {
            Ok(executions) => json_response(StatusCode::OK, &executions),
            Err(error) => message_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }

    fn serve_set_faults(&self, body: &Bytes) -> HttpResponse {
        match parse_json::<UpstreamFaults>(body) {
            Ok(faults) => {
                self.service.set_faults(faults);
                message_response(StatusCode::OK, "the faults are in force")
            }
            Err(response) => *response,
        }
    }
}

impl Handler for ControlService {
    async fn handle(self: Arc<Self>, _: ConnectionId, req: Request<Bytes>) -> Option<HttpResponse> {
        let state = &self.service.state;
        Some(match (req.method(), req.uri().path()) {
            (&Method::POST, "/faults") => self.serve_set_faults(req.body()),
            (&Method::GET, "/faults") => json_response(StatusCode::OK, &lock(state).faults),
            (&Method::GET, "/records") => self.serve_records(),
            (&Method::GET, "/counters") => json_response(StatusCode::OK, &lock(state).counters),
            _ => message_response(StatusCode::NOT_FOUND, "use /faults, /records or /counters"),
        })
    }
}
