//! The HTTP interface for metrics.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use httpd::Handler;
use httpd::RefusalReason;
use serde_json::json;
use telemetry::LineWriter;

use crate::json_response::json_response;
use crate::shared::Shared;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Content type of the Prometheus text exposition format.
const EXPOSITION_TYPE: &str = "text/plain; version=0.0.4";

/// Serves metrics in the text exposition format.
pub(crate) struct MetricsService {
    pub(crate) line_writer: LineWriter,
    pub(crate) shared: Arc<Shared>,
}

impl Handler for MetricsService {
    async fn handle(&self, req: Request<Bytes>) -> Response<Bytes> {
        if req.uri().path() != METRICS_PATH {
            let body = json!({ "error": "there is only GET /metrics here" });
            return json_response(StatusCode::NOT_FOUND, &body);
        }
        let metrics = &self.shared.metrics;
        metrics.set_gauge("log_lines_dropped", self.line_writer.dropped_lines());
        match metrics.encode_text() {
            Ok(text) => {
                let mut response = Response::new(Bytes::from(text));
                let kind = HeaderValue::from_static(EXPOSITION_TYPE);
                response.headers_mut().insert(CONTENT_TYPE, kind);
                response
            }
            Err(error) => {
                let body = json!({ "error": error.to_string() });
                json_response(StatusCode::INTERNAL_SERVER_ERROR, &body)
            }
        }
    }

    fn refuse(&self, reason: RefusalReason) -> Response<Bytes> {
        let body = json!({ "error": reason.to_string() });
        json_response(StatusCode::BAD_REQUEST, &body)
    }
}
