//! What was in force while a trace was recorded.

use std::collections::BTreeMap;

use ids::VmId;
use ids::WorkspaceId;
use ids::ZoneId;
use serde::Deserialize;
use serde::Serialize;

use crate::MonotonicUs;

/// What was in force while a trace was recorded.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TraceFacts {
    /// Places that were out of service.
    #[serde(rename = "absences")]
    pub outages: Vec<Outage>,
    /// Time after which an absence or a withdrawal must be in force, in microseconds.
    pub grace_us: u64,
    /// Limits by workspace, of which those of other workspaces are not checked.
    pub limits: BTreeMap<WorkspaceId, RateLimit>,
    /// Time at which the last tenant key of a workspace was withdrawn.
    pub withdrawn: BTreeMap<WorkspaceId, MonotonicUs>,
}

/// A time during which a place was out of service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Outage {
    /// Time at which it was taken out.
    pub from_us: MonotonicUs,
    /// The place.
    #[serde(rename = "place")]
    pub location: Location,
    /// Time at which it was returned, absent when it was not.
    pub until_us: Option<MonotonicUs>,
}

/// Where requests run.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Location {
    /// One upstream.
    Vm(VmId),
    /// An availability zone.
    Zone(ZoneId),
}

/// Rate and burst of a workspace across the whole fleet.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RateLimit {
    /// Requests at once.
    pub burst: f64,
    /// Requests per second.
    pub rate: f64,
}
