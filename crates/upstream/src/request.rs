//! A request for an upstream.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use ids::RequestId;
use ids::WorkspaceId;

use crate::Grant;

/// A caller's request, as the home sends it to its upstream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Request {
    /// The body.
    pub body: Bytes,
    /// Service that the request comes from, absent if it is not known.
    pub caller_service: Option<String>,
    /// Type of the body.
    pub content_type: Option<String>,
    /// Grant that the request runs under, absent for services without keys.
    pub grant: Option<Grant>,
    /// Further headers of the caller.
    pub headers: HeaderMap,
    /// Whether the request may run more than once with the same effect as once.
    pub idempotent: bool,
    /// Life of the upstream that the request is meant for, absent if any life may run it.
    pub instance: Option<String>,
    /// The key, absent for services without keys.
    pub key: Option<String>,
    /// Method of HTTP.
    pub method: String,
    /// Path without the service name, and query.
    pub path_and_query: String,
    /// Unique id of the request.
    pub request_id: RequestId,
    /// Time without any part of an answer after which the request is given up, or `None` to wait until its deadline.
    pub response_header_timeout: Option<Duration>,
    /// Workspace that sent the request, absent on open routes.
    pub workspace: Option<WorkspaceId>,
}
