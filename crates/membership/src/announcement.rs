//! What the local upstream states of itself.

use std::net::SocketAddr;

use ids::ServiceId;
use serde::Deserialize;
use serde::Serialize;

/// An announcement of the local upstream, repeated every second.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Whether the upstream checks grants.
    pub checks_orders: bool,
    /// Connections that the upstream accepts.
    pub connections: u32,
    /// Life of the upstream, new at every start.
    pub instance: String,
    /// Whether the upstream polls its grants by check-ins, and is not sent orders.
    #[serde(default)]
    pub polls_grants: bool,
    /// Service that the upstream provides.
    pub service: ServiceId,
    /// Requests that the upstream runs at once.
    pub slots: u32,
}
