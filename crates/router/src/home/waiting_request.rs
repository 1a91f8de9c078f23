//! A request that waits for the local upstream.

use std::time::Duration;

use ids::Fence;
use ids::Offset;
use ids::ServiceId;
use ids::Unit;
use policy::Fingerprint;
use tokio::sync::oneshot;
use wire::Outcome;

use crate::home::permit::Permit;

/// A request that waits for the local upstream.
#[derive(Debug)]
pub(crate) struct WaitingRequest {
    /// Time at which the request arrived at the home.
    pub(crate) arrived_at: Duration,
    /// Time after which the caller no longer waits for the answer.
    pub(crate) deadline: Duration,
    /// Offset up to which the entry had read the log when it accepted the tenant key.
    pub(crate) entry_offset: Offset,
    /// Revision of the manifest that was in force at the entry, or 0 for none.
    pub(crate) entry_revision: u64,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) grant: Option<(Unit, Fence)>,
    /// Whether another home may be running the same request.
    pub(crate) is_hedge: bool,
    /// Whether running the request several times has the same effect as once.
    pub(crate) is_idempotent: bool,
    pub(crate) key: Option<String>,
    /// Name of the route, `None` if it is not known or the upstream has made no calls.
    pub(crate) route: Option<String>,
    pub(crate) service: ServiceId,
    /// Remaining part of the target latency.
    pub(crate) target_left: Duration,
    /// Target latency of the route, zero when it has none.
    pub(crate) target_latency: Duration,
    pub(crate) tenant_key: Option<String>,
    /// Sends the permit, or the refusal if the request will not run.
    pub(crate) tx: oneshot::Sender<Result<Permit, Outcome>>,
}
