//! The record of a new member.

use std::net::SocketAddr;

use ids::RegionId;
use ids::ServiceId;
use ids::VmId;
use ids::ZoneId;
use serde::Deserialize;
use serde::Serialize;

use crate::timing::LEASE_MS;

/// What a process states of itself once its upstream has announced itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Join {
    /// Connections that the upstream accepts.
    pub connections: u32,
    /// Life of the upstream that the process grants units to, empty for one that takes grants as orders.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub instance: String,
    /// Time that a lease of the member lasts, in milliseconds.
    #[serde(default = "default_lease_ms", skip_serializing_if = "is_default_lease")]
    pub lease_ms: u64,
    /// Address of the process for peers, over both TCP and UDP.
    pub peer: SocketAddr,
    /// Region of the VM.
    pub region: RegionId,
    /// Service that the upstream provides.
    pub service: ServiceId,
    /// Requests that the upstream runs at once.
    pub slots: u32,
    /// Name of the VM.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
}

fn default_lease_ms() -> u64 {
    LEASE_MS
}

fn is_default_lease(lease_ms: &u64) -> bool {
    *lease_ms == LEASE_MS
}
