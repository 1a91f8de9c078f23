//! One request from its arrival to its end.

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

/// Outcome and reason of a request whose caller has closed its connection.
const CALLER_LEFT: &str = "caller-left";

/// What recognises a request that comes again.
#[derive(Debug)]
pub(crate) struct Identity {
    pub(crate) deadline: Duration,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) first_arrived: Duration,
}

/// One request from its arrival to its end, which is logged and counted once. A request that is dropped has ended because
/// its caller left.
pub(crate) struct Course<'a> {
    arrived: Duration,
    details: DecisionDetails,
    has_ended: bool,
    /// What recognises the request when it comes again, absent while it has not been read.
    identity: Option<Identity>,
    request_id: &'a str,
    route: String,
    service: Option<ServiceId>,
    shared: &'a Shared,
    workspace: Option<WorkspaceId>,
}

impl<'a> Course<'a> {
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

    /// Takes in what the request asks for.
    pub(crate) fn learn_request(&mut self, request: &CallerRequest) {
        self.details.deadline_left_ms = Some(milliseconds(request.timeout));
        self.details.rank = Some(request.priority);
        self.details.target_latency_ms = Some(milliseconds(request.target_latency));
        self.route.clone_from(&request.route);
        self.service = Some(request.service.clone());
    }

    /// Takes in whose request it is.
    pub(crate) fn learn_workspace(&mut self, workspace: Option<&WorkspaceId>, fleet: &Fleet) {
        self.workspace = workspace.cloned();
        let plan = workspace.and_then(|workspace| fleet.plan_of(workspace));
        if let Some(plan) = plan {
            self.details.burst = Some(plan.burst_requests);
            self.details.rate = Some(plan.rate_requests_per_second);
        }
    }

    /// Takes in what recognises the request, and how long after its first arrival it has come again, if it has.
    pub(crate) fn identify(&mut self, identity: Identity, returned_after: Option<Duration>) {
        self.details.returned_after_ms = returned_after.map(milliseconds);
        self.identity = Some(identity);
    }

    /// Ends the request with an answer.
    pub(crate) fn answered(mut self, answer: &Answer) {
        self.details.status = Some(answer.status);
        self.end(Step::Answered, "answered", "");
    }

    /// Ends the request with a refusal, and returns what recognises it when it comes again, if it may.
    pub(crate) fn refused(mut self, refusal: &Refusal) -> Option<Identity> {
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

impl Drop for Course<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.end(Step::CallerLeft, CALLER_LEFT, "");
        }
    }
}
