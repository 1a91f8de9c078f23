//! The report on a roll-out for operators.

use std::collections::BTreeMap;

use cluster::RolloutState;
use ids::Offset;
use ids::ServiceId;
use ids::UpstreamVersion;
use ids::VmId;
use policy::RouteSummary;
use serde::Serialize;

/// State of a roll-out as this process knows it, as reported to operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct RolloutStatus {
    /// Members that decide on the roll-out.
    pub(crate) deciders: Vec<VmId>,
    /// Time that operators give the roll-out, in milliseconds.
    pub(crate) duration_ms: u64,
    pub(crate) position: Offset,
    /// State whose status has been written.
    pub(crate) published: Option<RolloutState>,
    pub(crate) reason: Option<String>,
    /// Age of the last report of each home in milliseconds, if this process is a decider.
    pub(crate) report_ages_ms: BTreeMap<VmId, u64>,
    /// Reason of a rollback by a decider.
    pub(crate) rollback: Option<String>,
    /// Evidence by route, if this process is a decider.
    pub(crate) routes: Vec<RouteStatus>,
    pub(crate) service: ServiceId,
    /// Present share of the target version.
    pub(crate) share: f64,
    /// Time since the order, in milliseconds.
    pub(crate) since_order_ms: u64,
    pub(crate) state: RolloutState,
    pub(crate) target_version: UpstreamVersion,
}

/// Evidence on one route, as reported to operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct RouteStatus {
    pub(crate) bad_answers: f64,
    pub(crate) current_answers: u64,
    pub(crate) current_failures: u64,
    pub(crate) judged_answers: u64,
    pub(crate) route: String,
    pub(crate) sum: f64,
    pub(crate) threshold: f64,
    pub(crate) trial_answers: u64,
    pub(crate) trial_failures: u64,
}

impl RouteStatus {
    pub(crate) fn new(summary: RouteSummary) -> Self {
        Self {
            bad_answers: summary.bad_answers,
            current_answers: summary.current_answers,
            current_failures: summary.current_failures,
            judged_answers: summary.judged_answers,
            route: summary.route,
            sum: summary.sum,
            threshold: summary.threshold,
            trial_answers: summary.trial_answers,
            trial_failures: summary.trial_failures,
        }
    }
}
