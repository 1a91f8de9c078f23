//! Settings of the upstream stand-in.

use std::net::SocketAddr;
use std::path::PathBuf;

use ids::ServiceId;
use ids::VmId;
use ids::ZoneId;

/// Settings of an upstream stand-in.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    /// Whether requests for a unit need a valid grant.
    pub checks_orders: bool,
    /// Maximum number of connections served at the same time.
    pub connections: u32,
    /// Address of the control endpoints; port 0 selects a free port.
    pub control: SocketAddr,
    /// Address of the home that receives announcements; none are sent when absent.
    pub home: Option<SocketAddr>,
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// File to write executions to; they are kept in memory when absent.
    pub records: Option<PathBuf>,
    /// Seed of the random clock offset.
    pub seed: u64,
    /// Name of the service.
    pub service: ServiceId,
    /// Number of requests that run concurrently once the warm-up is complete.
    pub slots: u32,
    /// Name of the VM, written to executions.
    pub vm: VmId,
    /// Duration of the warm-up after a cold start, in milliseconds.
    pub warm_ms: u64,
    /// Default work time of a request, in milliseconds.
    pub work_ms: u64,
    /// Name of the availability zone, written to executions.
    pub zone: ZoneId,
}

impl Default for UpstreamOptions {
    fn default() -> Self {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            checks_orders: true,
            connections: 130,
            control: loopback,
            home: None,
            listen: loopback,
            records: None,
            seed: 1,
            service: "service".to_owned(),
            slots: 10,
            vm: "vm".to_owned(),
            warm_ms: 0,
            work_ms: 0,
            zone: "zone".to_owned(),
        }
    }
}
