//! Header names and capabilities of callers and upstreams.

use http::HeaderName;

/// Names of the headers that callers and upstreams use, and the features that they support.
///
/// The default is this product's own interface.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dialect {
    /// Whether callers choose the ids of their requests.
    pub accepts_request_ids: bool,
    /// Header with the service that a request comes from, absent if it is not sent to upstreams.
    pub caller_service: Option<HeaderName>,
    /// Header with the time until the request's deadline, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Header with the fence of the grant that a request runs under, absent if upstreams track their grants themselves.
    pub fence: Option<HeaderName>,
    /// Whether upstreams accept control requests: grants, health and cancellation. Without it, an upstream cancels a
    /// request when its connection closes.
    pub has_control_interface: bool,
    /// Whether the `retry-after` header of a refused request may have fractions of a second.
    pub has_fractional_retry_after: bool,
    /// Whether callers may send idempotency keys. Their stored answers move together with the unit of their key.
    pub has_idempotency_keys: bool,
    /// Header with the key of a request.
    pub key: HeaderName,
    /// Header by which an upstream states, with the value `1`, that it is about to stop.
    pub leaving: HeaderName,
    /// Header with the load of the upstream, absent if it is not sent: its running and waiting requests, its slots, and the time
    /// that work takes on its machine, with 100 as the usual value.
    pub load: Option<HeaderName>,
    /// Header by which an upstream states that it did not run a request.
    pub not_run: HeaderName,
    /// Headers of answers that are meant for this product, and removed before the caller gets the answer.
    pub private_headers: Vec<HeaderName>,
    /// Header with the number of requests per second that an upstream accepts, as long as its answers have it.
    pub rate_limit: HeaderName,
    /// Header with the id of a request, in both directions.
    pub request_id: HeaderName,
    /// Header with the instance of the upstream that a request is meant for, absent if it is not sent.
    pub target_instance: Option<HeaderName>,
    /// Header with the unit of the grant that a request runs under, absent if upstreams track their grants themselves.
    pub unit: Option<HeaderName>,
    /// Header with the workspace of a request.
    pub workspace: HeaderName,
}

impl Default for Dialect {
    fn default() -> Self {
        Self {
            accepts_request_ids: false,
            caller_service: None,
            deadline_ms: HeaderName::from_static("skylark-deadline-ms"),
            fence: Some(HeaderName::from_static("skylark-fence")),
            has_control_interface: true,
            has_fractional_retry_after: false,
            has_idempotency_keys: true,
            key: HeaderName::from_static("skylark-key"),
            leaving: HeaderName::from_static("skylark-leaving"),
            load: None,
            not_run: HeaderName::from_static("skylark-not-run"),
            private_headers: Vec::new(),
            rate_limit: HeaderName::from_static("skylark-rate-limit"),
            request_id: HeaderName::from_static("skylark-request-id"),
            target_instance: None,
            unit: Some(HeaderName::from_static("skylark-unit")),
            workspace: HeaderName::from_static("skylark-workspace"),
        }
    }
}
