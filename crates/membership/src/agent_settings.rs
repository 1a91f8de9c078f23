//! Settings of an agent.

use std::net::SocketAddr;
use std::time::Duration;

use cluster::LEASE;
use ids::RegionId;
use ids::VmId;
use ids::ZoneId;
use serde::Deserialize;
use serde::Serialize;

/// Settings that a process has before it reads the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AgentSettings {
    /// Time after which nothing is started any more in an availability zone that was taken out of service.
    #[serde(default = "default_evacuation_timeout")]
    pub evacuation_timeout: Duration,
    /// Duration of a lease of this member.
    #[serde(default = "default_lease")]
    pub lease: Duration,
    /// Fraction of its fair share by which the load of a member may differ before units are moved; `None` selects the
    /// default.
    #[serde(default)]
    pub load_tolerance: Option<f64>,
    /// Time that one read of the log waits for new records.
    #[serde(default = "default_log_wait")]
    pub log_wait: Duration,
    /// Address for peers, over both TCP and UDP.
    pub peer: SocketAddr,
    /// Whether loads are expected costs, and capacities follow the speeds of upstreams.
    #[serde(default)]
    pub places_by_cost: bool,
    /// Region of the VM.
    pub region: RegionId,
    /// Time for which the log keeps records; `None` if it is too long to shorten the interval between snapshots.
    #[serde(default)]
    pub retention: Option<Duration>,
    /// Whether the process publishes orders of roll-outs to the log. Without it, such orders change nothing.
    #[serde(default)]
    pub rollouts_enabled: bool,
    /// Seed of record ids, different at every start of the process.
    pub seed: u64,
    /// Number of shards for each member of a service with numeric keys when its first manifest is published; `None` for a
    /// fixed number.
    #[serde(default)]
    pub shards_per_member: Option<u32>,
    /// Time limit of a graceful stop. In its second half, units that could not be moved are left to the other members.
    #[serde(default = "default_stop_timeout")]
    pub stop_timeout: Duration,
    /// Name of the VM.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
}

fn default_log_wait() -> Duration {
    Duration::from_millis(1_500)
}

fn default_evacuation_timeout() -> Duration {
    Duration::from_secs(5)
}

fn default_stop_timeout() -> Duration {
    Duration::from_secs(20)
}

fn default_lease() -> Duration {
    LEASE
}
