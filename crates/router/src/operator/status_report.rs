//! The report on the fleet.

use std::collections::BTreeMap;

use ids::Offset;
use ids::ZoneId;
use serde::Serialize;

use crate::operator::member_report::MemberReport;
use crate::operator::process_report::ProcessReport;
use crate::rollout::RolloutStatus;

/// State of the fleet as one process knows it, as reported to operators.
#[derive(Debug, Serialize)]
pub(crate) struct StatusReport {
    /// Offset of the last accepted change of configuration.
    pub(crate) config_version: Offset,
    pub(crate) members: Vec<MemberReport>,
    /// Offset of the next record that this process reads.
    pub(crate) next: Offset,
    pub(crate) plans_version: Offset,
    pub(crate) process: ProcessReport,
    /// Fingerprints of requests in quarantine.
    pub(crate) quarantine: Vec<String>,
    pub(crate) rollouts: Vec<RolloutStatus>,
    pub(crate) units: usize,
    pub(crate) unowned_units: usize,
    pub(crate) workspaces_version: Offset,
    /// Whether each zone with a member is taken out of service.
    pub(crate) zones_out: BTreeMap<ZoneId, bool>,
}
