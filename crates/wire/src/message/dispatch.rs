//! Request sent from the entry to the home.

use bytes::Bytes;
use ids::Fence;
use ids::Offset;
use ids::RequestId;
use ids::ServiceId;
use ids::WorkspaceId;
use prost::Message;

use crate::message::Header;
use crate::message::ParentRequest;

/// A caller's request, sent from the entry to the home.
#[derive(Clone, PartialEq, Message)]
pub struct Dispatch {
    /// Unique id of the request.
    #[prost(string, tag = "1")]
    pub request_id: RequestId,
    /// Workspace of the caller, absent on open routes.
    #[prost(string, optional, tag = "2")]
    pub workspace: Option<WorkspaceId>,
    /// Service that is called.
    #[prost(string, tag = "3")]
    pub service: ServiceId,
    /// The key, absent for services without keys.
    #[prost(string, optional, tag = "4")]
    pub key: Option<String>,
    /// Unit that the key belongs to, absent for services without keys.
    #[prost(string, optional, tag = "5")]
    pub unit: Option<String>,
    /// Fence of the ownership of the unit, as known to the entry.
    #[prost(uint64, tag = "6")]
    pub fence: Fence,
    /// HTTP method.
    #[prost(string, tag = "7")]
    pub method: String,
    /// Path without the service name, with the query.
    #[prost(string, tag = "8")]
    pub path_and_query: String,
    /// Content type of the body.
    #[prost(string, optional, tag = "9")]
    pub content_type: Option<String>,
    /// The body.
    #[prost(bytes = "bytes", tag = "10")]
    pub body: Bytes,
    /// Time until the deadline of the request, in milliseconds.
    #[prost(uint64, tag = "11")]
    pub deadline_ms: u64,
    /// The caller's idempotency key.
    #[prost(string, optional, tag = "12")]
    pub idempotency_key: Option<String>,
    /// Hash of the content of the request, which is the same for every repetition by its caller.
    #[prost(string, tag = "13")]
    pub fingerprint: String,
    /// Whether the request is idempotent: running it several times has the same effect as once.
    #[prost(bool, tag = "14")]
    pub idempotent: bool,
    /// Weight of the workspace in the fair sharing of a busy upstream.
    #[prost(uint32, tag = "15")]
    pub weight: u32,
    /// Whether the request runs only while no other request runs.
    #[prost(bool, tag = "16")]
    pub alone: bool,
    /// Whether this is a hedged request, which another home may be running at the same time.
    #[prost(bool, tag = "17")]
    pub hedge: bool,
    /// Offset up to which the entry has read the log.
    #[prost(uint64, tag = "18")]
    pub entry_offset: Offset,
    /// Number of previous times that the entry sent the request.
    #[prost(uint32, tag = "19")]
    pub attempt: u32,
    /// Prefix of the hash of the tenant key, absent on open routes. The request is dropped once the key
    /// is withdrawn.
    #[prost(string, optional, tag = "21")]
    pub tenant_key_hash: Option<String>,
    /// Service that sent the request, absent if unknown.
    #[prost(string, optional, tag = "22")]
    pub caller_service: Option<String>,
    /// Other headers of the caller.
    #[prost(message, repeated, tag = "23")]
    pub headers: Vec<Header>,
    /// Priority of the request, 0 for the most urgent.
    #[prost(uint32, tag = "24")]
    pub priority: u32,
    /// Maximum time in the queue of the home, in milliseconds, or 0 to wait until the deadline.
    #[prost(uint64, tag = "25")]
    pub queue_ms: u64,
    /// Target latency of the route in milliseconds, or 0 if it has none.
    #[prost(uint64, tag = "26")]
    pub target_latency_ms: u64,
    /// Time from the first arrival of the request, if it was refused then and is now retried, in
    /// milliseconds. 0 otherwise.
    #[prost(uint64, tag = "27")]
    pub returned_after_ms: u64,
    /// Revision of the manifest that was in force at the entry, or 0 if there is none.
    #[prost(uint64, tag = "28")]
    pub entry_revision: u64,
    /// The running request that has made this one, absent unless the request is a call.
    #[prost(message, optional, tag = "29")]
    pub parent: Option<ParentRequest>,
}
