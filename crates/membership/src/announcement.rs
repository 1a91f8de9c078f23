//! The description that the local upstream gives of itself.

use std::net::SocketAddr;

use ids::ServiceId;
use serde::Deserialize;
use serde::Serialize;

/// Description that the local upstream gives of itself, repeated every second.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Whether the upstream checks grants.
    #[serde(rename = "checks_orders")]
    pub checks_grants: bool,
    /// Number of connections that the upstream accepts.
    pub connections: u32,
    /// Id of the upstream process, new at every start.
    pub instance: String,
    /// Whether the upstream polls its grants by check-ins, instead of being sent grants.
    #[serde(default)]
    pub polls_grants: bool,
    /// Service that the upstream provides.
    pub service: ServiceId,
    /// Number of requests that the upstream runs at once.
    pub slots: u32,
}
