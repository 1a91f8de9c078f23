//! Stream of requests from one workspace to one service.

use ids::ServiceId;
use ids::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

/// Requests from one workspace to one service, which arrive at random times and do not wait for each other.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestStream {
    /// Maximum number of times that a request is sent. Only requests that are safe to retry are sent again.
    pub attempts: u32,
    /// Size of the response, in bytes, in addition to what it echoes.
    pub answer_bytes: u64,
    /// Deadline that is sent with each request, in milliseconds. No deadline is sent if absent.
    pub deadline_ms: Option<u64>,
    /// Whether requests go directly to upstreams, each with a new request id, as a home would send them.
    pub direct: bool,
    /// Whether requests carry idempotency keys.
    pub idempotency_keys: bool,
    /// Number of keys, or 0 for a service without keys.
    pub keys: u32,
    /// HTTP method. Each `POST` request has a unique body, and counts as not idempotent.
    pub method: String,
    /// Path after the name of the service.
    pub path: String,
    /// Requests per second.
    pub rate: f64,
    /// The service.
    pub service: ServiceId,
    /// Skew of the keys: key number `n` is chosen with a probability proportional to `1 / n^skew`.
    pub skew: f64,
    /// Tenant key, absent on open routes.
    pub tenant_key: Option<String>,
    /// Time that each request takes at the upstream, in milliseconds. The upstream's default applies if absent.
    pub work_ms: Option<u64>,
    /// Workspace of the tenant key.
    pub workspace: Option<WorkspaceId>,
}

impl Default for RequestStream {
    fn default() -> Self {
        Self {
            attempts: 1,
            answer_bytes: 0,
            deadline_ms: None,
            direct: false,
            idempotency_keys: false,
            keys: 0,
            method: "GET".to_owned(),
            path: "/".to_owned(),
            rate: 10.0,
            service: "service".to_owned(),
            skew: 0.0,
            tenant_key: None,
            work_ms: None,
            workspace: None,
        }
    }
}

impl RequestStream {
    /// Reports whether a request may run more than once.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.method != "POST"
    }

    /// Returns the path and query of a request. The query instructs the upstream stand-in.
    pub(crate) fn path_and_query(&self) -> String {
        let mut text = format!(
            "/{}{}?answer_bytes={}",
            self.service, self.path, self.answer_bytes
        );
        if let Some(work_ms) = self.work_ms {
            text += &format!("&work_ms={work_ms}");
        }
        text
    }
}
