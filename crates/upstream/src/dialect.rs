//! Names of the headers between callers, processes and upstreams.

use http::HeaderName;

/// Names of the headers that callers and upstreams use, and what upstreams understand.
///
/// The default is this product's own interface.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dialect {
    /// Header with the service that a request comes from, absent if upstreams are not told.
    pub caller_service: Option<HeaderName>,
    /// Header with the time until nobody waits for the answer, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Header with the fence of the grant that a request runs under, absent if upstreams know their grants.
    pub fence: Option<HeaderName>,
    /// Whether callers may send idempotency keys, whose answers travel with the unit of their key.
    pub has_idempotency_keys: bool,
    /// Whether the time after which to send a refused request again may have fractions of a second.
    pub has_fractional_retry_after: bool,
    /// Whether upstreams take orders: grants, health and cancellation. Others end a request when its connection closes.
    pub has_control_interface: bool,
    /// Header with the key of a request.
    pub key: HeaderName,
    /// Header by which an upstream states that it did not run a request.
    pub not_run: HeaderName,
    /// Headers of answers that are meant for this product.
    pub private_headers: Vec<HeaderName>,
    /// Header with the id of a request, in both directions.
    pub request_id: HeaderName,
    /// Header with the life of the upstream that a request is meant for, absent if upstreams are not told.
    pub target_instance: Option<HeaderName>,
    /// Whether callers choose the ids of their requests.
    pub accepts_request_ids: bool,
    /// Header with the unit of the grant that a request runs under, absent if upstreams know their grants.
    pub unit: Option<HeaderName>,
    /// Header with the workspace of a request.
    pub workspace: HeaderName,
}

impl Default for Dialect {
    fn default() -> Self {
        Self {
            caller_service: None,
            deadline_ms: HeaderName::from_static("skylark-deadline-ms"),
            fence: Some(HeaderName::from_static("skylark-fence")),
            has_fractional_retry_after: false,
            has_idempotency_keys: true,
            has_control_interface: true,
            key: HeaderName::from_static("skylark-key"),
            not_run: HeaderName::from_static("skylark-not-run"),
            private_headers: Vec::new(),
            request_id: HeaderName::from_static("skylark-request-id"),
            accepts_request_ids: false,
            target_instance: None,
            unit: Some(HeaderName::from_static("skylark-unit")),
            workspace: HeaderName::from_static("skylark-workspace"),
        }
    }
}
