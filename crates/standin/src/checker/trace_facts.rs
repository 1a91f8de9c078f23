//! Limits, outages and key withdrawals in force while a trace was recorded.

use std::collections::BTreeMap;

use ids::VmId;
use ids::WorkspaceId;
use ids::ZoneId;
use serde::Deserialize;
use serde::Serialize;

use crate::MonotonicUs;

/// Limits, outages and key withdrawals in force while a trace was recorded.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TraceFacts {
    /// Outages of VMs and zones.
    #[serde(rename = "absences")]
    pub outages: Vec<Outage>,
    /// Time allowed for an outage or a key withdrawal to take effect, in microseconds.
    pub grace_us: u64,
    /// Rate limits by workspace. Workspaces without a limit here are not checked.
    pub limits: BTreeMap<WorkspaceId, RateLimit>,
    /// Limits that upstreams state in their answers.
    pub stated_limits: Vec<StatedLimit>,
    /// Time at which the last tenant key of each workspace was withdrawn.
    pub withdrawn: BTreeMap<WorkspaceId, MonotonicUs>,
}

/// Limit on the rate of requests that an upstream states in its answers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StatedLimit {
    /// Time from which it must be kept.
    pub from_us: MonotonicUs,
    /// Rate, and number of requests that may start at once.
    pub limit: RateLimit,
    /// Time until which it must be kept, absent if it was not lifted.
    pub until_us: Option<MonotonicUs>,
    /// VM of the upstream.
    pub vm: VmId,
}

/// Period in which a VM or an availability zone was out of service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Outage {
    /// Time at which it was taken out of service.
    pub from_us: MonotonicUs,
    /// The VM or zone.
    #[serde(rename = "place")]
    pub location: Location,
    /// Time at which it returned to service, absent if it did not.
    pub until_us: Option<MonotonicUs>,
}

/// VM or availability zone in which requests run.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Location {
    /// VM of an upstream.
    Vm(VmId),
    /// An availability zone.
    Zone(ZoneId),
}

/// Rate and burst allowed to a workspace across the whole fleet.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RateLimit {
    /// Burst size, in requests.
    pub burst: f64,
    /// Requests per second.
    pub rate: f64,
}
