//! Decisions about requests.

use ids::Fence;
use ids::RequestId;
use ids::ServiceId;
use ids::Unit;
use ids::VmId;
use ids::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

use crate::DecisionDetails;
use crate::Step;
use crate::ViewSummary;

/// Decision about a request, as its log line states it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RequestDecision {
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub time_unix_ms: u64,
    /// VM of the process that decided.
    pub vm: VmId,
    /// Step that was decided on.
    pub step: Step,
    /// Id of the request.
    pub request_id: RequestId,
    /// Reason for the decision.
    pub reason: String,
    /// Service that the request is for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// Workspace that sent the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceId>,
    /// VM that the request is sent to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to: Option<VmId>,
    /// Unit that the key belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unit: Option<Unit>,
    /// Fence under which the unit is owned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fence: Option<Fence>,
    /// The process's view of the fleet.
    #[serde(default, rename = "belief", skip_serializing_if = "Option::is_none")]
    pub view: Option<ViewSummary>,
    /// Measurements and limits behind the decision.
    #[serde(flatten)]
    pub details: DecisionDetails,
}

impl RequestDecision {
    /// Reports whether the request failed, was refused, lost its caller, or took longer than the target latency of its route.
    pub fn is_failure(&self) -> bool {
        self.step.is_failure() || self.is_late()
    }

    fn is_late(&self) -> bool {
        let details = &self.details;
        let at_home = details.waited_ms.zip(details.upstream_ms);
        let at_home = at_home.map(|(waited, upstream)| waited + upstream);
        let taken = details.elapsed_ms.or(at_home);
        let target = details.target_latency_ms.filter(|target| *target > 0);
        taken
            .zip(target)
            .is_some_and(|(taken, target)| taken > target)
    }
}
