//! The description that the local upstream gives of itself.

use std::net::SocketAddr;

use ids::ServiceId;
use ids::UpstreamVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::UpstreamProcess;

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
    /// Id of the upstream instance, new at every start unless `started_unix_ms` is.
    pub instance: String,
    /// Whether the upstream polls its grants by check-ins, instead of being sent grants.
    #[serde(default)]
    pub polls_grants: bool,
    /// Service that the upstream provides.
    pub service: ServiceId,
    /// Number of requests that the upstream runs at once.
    pub slots: u32,
    /// Start time of the upstream process, in milliseconds since the Unix epoch, or 0 if it is not known.
    #[serde(default, rename = "born_unix_ms")]
    pub started_unix_ms: u64,
    /// Version of the upstream, or empty if it is not known.
    #[serde(default)]
    pub version: UpstreamVersion,
}

impl Announcement {
    /// Returns the identity of the upstream process.
    pub fn process(&self) -> UpstreamProcess {
        UpstreamProcess {
            instance: self.instance.clone(),
            started_unix_ms: self.started_unix_ms,
        }
    }

    /// Adopts the version of an earlier announcement of the same process if this one states none.
    pub(crate) fn keep_version_of(&mut self, earlier: &Self) {
        if self.version.is_empty() {
            self.version.clone_from(&earlier.version);
        }
    }

    /// Reports whether two announcements describe the same upstream process.
    pub fn is_same_process(&self, other: &Self) -> bool {
        self.instance == other.instance && self.started_unix_ms == other.started_unix_ms
    }
}
