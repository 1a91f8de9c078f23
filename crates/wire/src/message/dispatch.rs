//! A request on its way to its home.

use bytes::Bytes;
use ids::Fence;
use ids::Offset;
use ids::RequestId;
use ids::ServiceId;
use ids::WorkspaceId;
use prost::Message;

use crate::message::Header;

/// A caller's request, from the entry to the home.
#[derive(Clone, PartialEq, Message)]
pub struct Dispatch {
    /// Unique id of the request.
    #[prost(string, tag = "1")]
    pub request_id: RequestId,
    /// Workspace that sent the request, absent on open routes.
    #[prost(string, optional, tag = "2")]
    pub workspace: Option<WorkspaceId>,
    /// Service that the request is for.
    #[prost(string, tag = "3")]
    pub service: ServiceId,
    /// The key, absent for services without keys.
    #[prost(string, optional, tag = "4")]
    pub key: Option<String>,
    /// Unit that the key belongs to, absent for services without keys.
    #[prost(string, optional, tag = "5")]
    pub unit: Option<String>,
    /// Fence under which the entry believes the home owns the unit.
    #[prost(uint64, tag = "6")]
    pub fence: Fence,
    /// Method of HTTP.
    #[prost(string, tag = "7")]
    pub method: String,
    /// Path without the service name, and query.
    #[prost(string, tag = "8")]
    pub path_and_query: String,
    /// Type of the body.
    #[prost(string, optional, tag = "9")]
    pub content_type: Option<String>,
    /// The body.
    #[prost(bytes = "bytes", tag = "10")]
    pub body: Bytes,
    /// Time until nobody waits for the answer, in milliseconds.
    #[prost(uint64, tag = "11")]
    pub deadline_ms: u64,
    /// The caller's idempotency key.
    #[prost(string, optional, tag = "12")]
    pub idempotency_key: Option<String>,
    /// Hash of what the request does, the same whenever its caller repeats it.
    #[prost(string, tag = "13")]
    pub fingerprint: String,
    /// Whether the request may run more than once with the same effect as once.
    #[prost(bool, tag = "14")]
    pub idempotent: bool,
    /// Share of the workspace in a busy upstream, relative to other workspaces.
    #[prost(uint32, tag = "15")]
    pub weight: u32,
    /// Whether the request runs only while nothing else does.
    #[prost(bool, tag = "16")]
    pub alone: bool,
    /// Whether another home may be running the same request.
    #[prost(bool, tag = "17")]
    pub hedge: bool,
    /// Offset up to which the entry has read the log.
    #[prost(uint64, tag = "18")]
    pub entry_offset: Offset,
    /// Number of times that the entry has sent the request before.
    #[prost(uint32, tag = "19")]
    pub attempt: u32,
    /// Whether the entry vouches that no earlier request with this idempotency key was sent.
    #[prost(bool, tag = "20")]
    pub never_dispatched: bool,
    /// Start of the hash of the tenant key, absent on open routes. The request is dropped once the key is withdrawn.
    #[prost(string, optional, tag = "21")]
    pub tenant_key_hash: Option<String>,
    /// Service that the request comes from, absent if it is not known.
    #[prost(string, optional, tag = "22")]
    pub caller_service: Option<String>,
    /// Further headers of the caller.
    #[prost(message, repeated, tag = "23")]
    pub headers: Vec<Header>,
    /// Rank of the request, 0 for the most urgent.
    #[prost(uint32, tag = "24")]
    pub priority: u32,
    /// Longest time that the request waits at the home, in milliseconds, or 0 to wait until its deadline.
    #[prost(uint64, tag = "25")]
    pub queue_ms: u64,
    /// Target latency of the route, in milliseconds, or 0 when it has none.
    #[prost(uint64, tag = "26")]
    pub target_latency_ms: u64,
    /// Time by which the request came later than it first did, in milliseconds, since it was refused before.
    #[prost(uint64, tag = "27")]
    pub returned_after_ms: u64,
}
