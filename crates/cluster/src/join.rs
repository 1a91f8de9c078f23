//! Content of the record that adds a member.

use std::net::SocketAddr;

use ids::RegionId;
use ids::ServiceId;
use ids::UpstreamVersion;
use ids::VmId;
use ids::ZoneId;
use serde::Deserialize;
use serde::Serialize;

use crate::timing::LEASE_MS;

/// Description of a new member, written once its upstream has announced itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Join {
    /// Number of connections that the upstream accepts.
    pub connections: u32,
    /// Instance of the upstream if it polls its grants by check-ins, or empty if it is sent its grants.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub instance: String,
    /// Duration of a lease of the member, in milliseconds.
    #[serde(default = "default_lease_ms", skip_serializing_if = "is_default_lease")]
    pub lease_ms: u64,
    /// Address at which peers reach the process, over both TCP and UDP.
    pub peer: SocketAddr,
    /// Region of the VM.
    pub region: RegionId,
    /// Service that the upstream provides.
    pub service: ServiceId,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Version of the upstream, or empty if it is not known.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub version: UpstreamVersion,
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
