//! Upstream that a request can be dispatched to.

use ids::VmId;
use ids::ZoneId;
use serde::Deserialize;
use serde::Serialize;

/// Upstream that a request of a keyless service can be dispatched to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Candidate {
    /// Number of requests that the upstream runs concurrently when warm.
    pub slots: u32,
    /// VM of the upstream.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
}
