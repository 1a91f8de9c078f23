//! The report on one member.

use ids::Incarnation;
use ids::Offset;
use ids::ServiceId;
use ids::VmId;
use ids::ZoneId;
use serde::Serialize;

/// State of one member, as reported to operators.
#[derive(Debug, Serialize)]
pub(crate) struct MemberReport {
    /// Whether its upstream is taken out of service.
    pub(crate) drained: bool,
    pub(crate) incarnation: Incarnation,
    /// Offset of the next record that the member reads, absent if it does not answer.
    pub(crate) next: Option<Offset>,
    pub(crate) service: ServiceId,
    pub(crate) units: usize,
    pub(crate) vm: VmId,
    pub(crate) witnesses: Vec<VmId>,
    pub(crate) zone: ZoneId,
    /// Whether its zone is taken out of service.
    pub(crate) zone_out: bool,
}
