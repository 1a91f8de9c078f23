//! A request for an upstream.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use ids::RequestId;
use ids::WorkspaceId;

use crate::Grant;

/// A caller's request that the home sends to its upstream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Request {
    /// The body.
    pub body: Bytes,
    /// Service that the request comes from, absent if it is not known.
    pub caller_service: Option<String>,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// Grant under which the request runs, absent for services without keys.
    pub grant: Option<Grant>,
    /// Other headers of the caller.
    pub headers: HeaderMap,
    /// Whether running the request more than once has the same effect as running it once.
    pub idempotent: bool,
    /// Instance of the upstream that the request is meant for, absent if any instance may run it.
    pub instance: Option<String>,
    /// The key, absent for services without keys.
    pub key: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path without the service name, and query.
    pub path_and_query: String,
    /// Unique id of the request.
    pub request_id: RequestId,
    /// Time to wait for the headers of the answer, or `None` to wait until the deadline.
    pub response_header_timeout: Option<Duration>,
    /// Workspace that sent the request, absent on open routes.
    pub workspace: Option<WorkspaceId>,
}
