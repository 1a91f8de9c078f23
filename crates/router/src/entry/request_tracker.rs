//! Logging and counting of one request from its arrival to its end.

use std::time::Duration;

use cluster::Fleet;
use ids::ServiceId;
use ids::WorkspaceId;
use policy::Fingerprint;
use policy::Outcome;
use policy::Refusal;
use telemetry::DecisionDetails;
use telemetry::RequestDecision;
use telemetry::Step;
use wire::Answer;

use crate::clock::milliseconds;
use crate::entry::caller_request::CallerRequest;
use crate::shared::Shared;

/// Outcome and reason of a request whose caller closed its connection.
const CALLER_LEFT: &str = "caller-left";

/// Identifies a request that its caller may send again after a refusal.
#[derive(Debug)]
pub(crate) struct RequestIdentity {
    pub(crate) deadline: Duration,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) first_arrived: Duration,
}

/// Collects the details of one request, and logs and counts it once when it ends. A tracker that is dropped before that
/// records that the caller closed its connection.
pub(crate) struct RequestTracker<'a> {
    arrived: Duration,
    details: DecisionDetails,
    has_ended: bool,
    /// Identity of the request, or `None` until it has been read.
    identity: Option<RequestIdentity>,
    request_id: &'a str,
    route: String,
    service: Option<ServiceId>,
    shared: &'a Shared,
    workspace: Option<WorkspaceId>,
}

impl<'a> RequestTracker<'a> {
    pub(crate) fn new(shared: &'a Shared, request_id: &'a str) -> Self {
        Self {
            arrived: shared.clock.now(),
            details: DecisionDetails::default(),
            has_ended: false,
            identity: None,
            request_id,
            route: String::new(),
            service: None,
            shared,
            workspace: None,
        }
    }

    /// Records the route, priority and timeout of the request.
    pub(crate) fn record_request(&mut self, request: &CallerRequest) {
        self.details.deadline_left_ms = Some(milliseconds(request.timeout));
        self.details.rank = Some(request.priority);
        self.details.target_latency_ms = Some(milliseconds(request.target_latency));
        self.route.clone_from(&request.route);
        self.service = Some(request.service.clone());
    }

    /// Records the workspace of the request, with its rate limit.
    pub(crate) fn record_workspace(&mut self, workspace: Option<&WorkspaceId>, fleet: &Fleet) {
        self.workspace = workspace.cloned();
        let plan = workspace.and_then(|workspace| fleet.plan_of(workspace));
        if let Some(plan) = plan {
            self.details.burst = Some(plan.burst_requests);
            self.details.rate = Some(plan.rate_requests_per_second);
        }
    }

    /// Records the identity of the request and, if it was sent again after a refusal, the time since its first arrival.
    pub(crate) fn record_identity(
        &mut self,
        identity: RequestIdentity,
        returned_after: Option<Duration>,
    ) {
        self.details.returned_after_ms = returned_after.map(milliseconds);
        self.identity = Some(identity);
    }

    /// Ends the request with an answer.
    pub(crate) fn finish_answered(mut self, answer: &Answer) {
        self.details.status = Some(answer.status);
        self.end(Step::Answered, "answered", "");
    }

    /// Ends the request with a refusal. Returns its identity if it did not run, so that it may be sent again.
    pub(crate) fn finish_refused(mut self, refusal: &Refusal) -> Option<RequestIdentity> {
        let outcome = refusal.outcome();
        self.details.not_run = Some(outcome == Outcome::NotRun);
        self.details.retry_after_ms = refusal.retry_after().map(milliseconds);
        self.end(Step::Refused, outcome.as_str(), refusal.reason().as_str());
        self.identity.take().filter(|_| outcome == Outcome::NotRun)
    }

    fn end(&mut self, step: Step, outcome: &str, reason: &str) {
        self.has_ended = true;
        let elapsed = self.shared.clock.now().saturating_sub(self.arrived);
        self.details.elapsed_ms = Some(milliseconds(elapsed));
        self.shared.metrics.record_duration("request", elapsed);
        self.shared
            .metrics
            .count_request(&self.route, outcome, reason);
        let reason = if reason.is_empty() { outcome } else { reason };
        let view = step.is_failure().then(|| self.shared.summarize_view());
        self.shared.decisions.record(RequestDecision {
            details: std::mem::take(&mut self.details),
            service: self.service.take(),
            view,
            workspace: self.workspace.take(),
            ..self.shared.decision(step, self.request_id, reason)
        });
    }
}

impl Drop for RequestTracker<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.end(Step::CallerLeft, CALLER_LEFT, "");
        }
    }
}
