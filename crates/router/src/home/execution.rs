//! Execution of one request at the home.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use httpd::ByteReservation;
use policy::ArrivedRequest;
use policy::Completion;
use policy::CostKey;
use policy::QueuedRequest;
use policy::Reason;
use policy::StartedRequest;
use telemetry::DecisionDetails;
use telemetry::Dependency;
use telemetry::RequestDecision;
use telemetry::Step;
use tokio::sync::oneshot;
use upstream::DispatchError;
use upstream::NotRunReason;
use wire::Dispatch;
use wire::Outcome;

use crate::clock::milliseconds;
use crate::home::Home;
use crate::home::crash_report::CrashReport;
use crate::home::local_upstream::LocalUpstream;
use crate::home::messages::class_of;
use crate::home::messages::encode_answer;
use crate::home::messages::encode_statement;
use crate::home::messages::grant_of;
use crate::home::messages::upstream_request;
use crate::home::permit::Permit;
use crate::home::route_name::route_name;
use crate::home::waiting_request::WaitingRequest;
use crate::request_cost::cost_key;
use crate::rollout::Observation;

/// Executes one request at the home. The outcome is recorded even if the execution is dropped.
pub(crate) struct Execution {
    /// Time at which the request arrived at the home.
    arrived_at: Duration,
    /// Kind by which the cost is learned, `None` unless requests are placed by cost.
    cost_key: Option<CostKey>,
    deadline: Duration,
    dispatch: Dispatch,
    home: Arc<Home>,
    /// Holds the size of the body until the request has ended.
    _body: ByteReservation,
    is_finished: bool,
    /// Start of the request on the upstream, `None` while it waits.
    started_at: Option<Duration>,
    /// Whether the upstream was cold when the request started.
    was_cold: bool,
}

impl Execution {
    pub(crate) fn new(home: Arc<Home>, dispatch: Dispatch, body: ByteReservation) -> Self {
        let arrived_at = home.shared.clock.now();
        let deadline = arrived_at + Duration::from_millis(dispatch.deadline_ms);
        let is_placed = home.shared.policy.places_by_cost();
        let cost_key = is_placed.then(|| cost_key(&home.shared.view().fleet, &dispatch));
        Self {
            arrived_at,
            cost_key,
            deadline,
            dispatch,
            home,
            _body: body,
            is_finished: false,
            started_at: None,
            was_cold: false,
        }
    }

    /// Waits for a permit, runs the request, and records the outcome.
    pub(crate) async fn run(mut self) -> Outcome {
        let outcome = match self.acquire_permit().await {
            Ok(permit) => self.dispatch(permit).await,
            Err(outcome) => {
                self.log_refusal(Step::RefusedByHome, &outcome);
                outcome
            }
        };
        self.finish(&outcome);
        outcome
    }

    /// Refuses the request without adding it to the queue.
    pub(crate) fn refuse(&mut self, reason: Reason) -> Outcome {
        let outcome = self.not_run(reason);
        self.log_refusal(Step::RefusedByHome, &outcome);
        self.finish(&outcome);
        outcome
    }

    fn finish(&mut self, outcome: &Outcome) {
        self.is_finished = true;
        self.home.finish(&self.dispatch.request_id, outcome);
    }

    async fn acquire_permit(&self) -> Result<Permit, Outcome> {
        let (tx, rx) = oneshot::channel();
        let returned_after_ms = self.dispatch.returned_after_ms;
        let target_left_ms = self.dispatch.target_latency_ms;
        let target_left_ms = target_left_ms.saturating_sub(returned_after_ms);
        if let Some(key) = &self.cost_key {
            let id = &self.dispatch.request_id;
            self.home
                .lock()
                .record_arrival(id, key, &grant_of(&self.dispatch));
        }
        self.home.enqueue(QueuedRequest {
            class: class_of(&self.dispatch),
            deadline: self.queue_deadline(),
            id: self.dispatch.request_id.clone(),
            item: WaitingRequest {
                arrived_at: self.arrived_at,
                deadline: self.deadline,
                entry_offset: self.dispatch.entry_offset,
                entry_revision: self.dispatch.entry_revision,
                fingerprint: self.dispatch.fingerprint.clone(),
                grant: grant_of(&self.dispatch),
                is_hedge: self.dispatch.hedge,
                is_idempotent: self.dispatch.idempotent,
                key: self.dispatch.key.clone(),
                route: self.route(),
                service: self.dispatch.service.clone(),
                target_left: Duration::from_millis(target_left_ms),
                target_latency: Duration::from_millis(self.dispatch.target_latency_ms),
                tenant_key: self.dispatch.tenant_key_hash.clone(),
                tx,
            },
            rank: self.dispatch.priority,
            weight: self.dispatch.weight,
            workspace: self.dispatch.workspace.clone().unwrap_or_default(),
        });
        let deadline = self.home.shared.clock.instant_at(self.deadline);
        match tokio::time::timeout_at(deadline.into(), rx).await {
            Ok(Ok(decided)) => decided,
            Ok(Err(_)) | Err(_) => {
                self.home.cancel(&self.dispatch.request_id);
                Err(self.not_run(Reason::DeadlinePassed))
            }
        }
    }

    /// Returns the name of the request's route if the upstream makes calls, whose parent the request may be.
    fn route(&self) -> Option<String> {
        if !self.home.has_made_calls() {
            return None;
        }
        let view = self.home.shared.view();
        route_name(&self.dispatch, view.fleet.plans())
    }

    /// Returns the time until which the request may wait in the queue.
    fn queue_deadline(&self) -> Duration {
        match self.dispatch.queue_ms {
            0 => self.deadline,
            queue_ms => {
                let now = self.home.shared.clock.now();
                self.deadline.min(now + Duration::from_millis(queue_ms))
            }
        }
    }

    async fn dispatch(&mut self, mut permit: Permit) -> Outcome {
        let arrived = ArrivedRequest::new(self.dispatch.request_id.clone());
        let Some(upstream) = self.home.upstream() else {
            return self.not_run(Reason::UpstreamSilent);
        };
        let deadline = self.upstream_deadline();
        self.started_at = Some(permit.started_at());
        if let Some(costs) = &mut self.home.lock().costs {
            costs.start(permit.started_at(), &self.dispatch.request_id);
        }
        self.was_cold = self.home.is_cold();
        let started = arrived.start();
        self.log_dispatch();
        let request = upstream_request(&self.dispatch, &upstream.announcement.instance);
        permit.mark_sent(&upstream.client, &self.dispatch.request_id);
        let result = upstream.client.dispatch(request, deadline).await;
        let latency = self
            .home
            .shared
            .clock
            .now()
            .saturating_sub(permit.started_at());
        self.home
            .shared
            .metrics
            .record_duration("upstream", latency);
        match result {
            Ok(received) => {
                let started_at = permit.started_at();
                if !received.status.is_server_error() {
                    self.record_cost(latency);
                }
                permit.end(Completion::Answered { latency });
                let status = received.status.as_u16();
                let time = latency;
                self.record_evidence(started_at, Observation::Answered { status, time });
                self.log_end(started_at, latency, u32::from(received.status.as_u16()));
                Outcome::Answer(encode_answer(received))
            }
            Err(error) => {
                if is_lost(&error) {
                    self.record_evidence(permit.started_at(), Observation::Lost);
                }
                let outcome = self.handle_error(permit, started, &upstream, error).await;
                self.log_refusal(Step::Failed, &outcome);
                outcome
            }
        }
    }

    fn record_evidence(&self, started_at: Duration, observation: Observation) {
        if !self.was_cold {
            self.home
                .record_evidence(&self.dispatch, started_at, observation);
        }
    }

    /// Records the time on the upstream of a request that was answered. A cold upstream takes longer than usual.
    fn record_cost(&self, latency: Duration) {
        let now = self.home.shared.clock.now();
        let mut state = self.home.lock();
        if state.start_rate.is_cold(now) {
            return;
        }
        if let (Some(costs), Some(key)) = (&mut state.costs, &self.cost_key) {
            costs.record_answer(now, key, latency);
        }
    }

    /// Returns the deadline of the request, or the time by which requests on units must have ended if that is earlier.
    fn upstream_deadline(&self) -> Instant {
        let run_until = self.home.shared.view().request_deadline;
        let bound = run_until.filter(|_| self.dispatch.unit.is_some());
        let deadline = bound.map_or(self.deadline, |bound| bound.min(self.deadline));
        self.home.shared.clock.instant_at(deadline)
    }

    async fn handle_error(
        &self,
        permit: Permit,
        started: StartedRequest,
        upstream: &LocalUpstream,
        error: DispatchError,
    ) -> Outcome {
        let problem = error.to_string();
        let statement = match error {
            DispatchError::ConnectionLost(_) => {
                let crash = CrashReport {
                    home: &self.home,
                    upstream,
                };
                self.home
                    .shared
                    .record_dependency_failure(Dependency::Upstream, "", &problem);
                if crash.confirm_and_record().await {
                    permit.end(Completion::Failed);
                    started.refuse(Reason::UpstreamCrashed)
                } else {
                    permit.end_when_confirmed(Completion::Failed);
                    started.refuse(Reason::UpstreamSilent)
                }
            }
            DispatchError::MismatchedAnswer(_) => {
                permit.end_when_confirmed(Completion::Failed);
                started.refuse(Reason::CrossedAnswer)
            }
            DispatchError::Invalid(_) => {
                permit.end(Completion::Cancelled);
                started.refuse_not_run(Reason::BadHeader, None)
            }
            DispatchError::NoConnection => {
                permit.end(Completion::Cancelled);
                started.refuse_not_run(Reason::Overloaded, None)
            }
            DispatchError::NotRun(NotRunReason::Fence) => {
                permit.end(Completion::Cancelled);
                if let Some((unit, _)) = grant_of(&self.dispatch)
                    && upstream.announcement.polls_grants
                {
                    self.home.record_not_held(unit);
                }
                started.refuse_not_run(Reason::LeaseLapsed, None)
            }
            DispatchError::NotRun(NotRunReason::Other(_) | NotRunReason::Shed) => {
                permit.end(Completion::Shed);
                started.refuse_not_run(Reason::Shed, None)
            }
            DispatchError::NotSent(_) => {
                self.home
                    .shared
                    .record_dependency_failure(Dependency::Upstream, "", &problem);
                permit.end(Completion::Failed);
                self.home
                    .control
                    .send_event(membership::Event::UpstreamLost);
                started.refuse_not_run(Reason::UpstreamSilent, None)
            }
            DispatchError::InvalidStatus(_) => {
                let metrics = &self.home.shared.metrics;
                metrics.count_event("upstream", "invalid-status");
                permit.end_when_confirmed(Completion::Failed);
                started.refuse(Reason::UpstreamSilent)
            }
            DispatchError::NoAnswer | DispatchError::TimedOut => {
                permit.end_when_confirmed(Completion::Failed);
                started.refuse(Reason::UpstreamSilent)
            }
            DispatchError::NoMemory { .. } | DispatchError::TooLarge { .. } => {
                permit.end_when_confirmed(Completion::Failed);
                started.refuse(Reason::AnswerTooLarge)
            }
            DispatchError::Truncated(_) => {
                permit.end_when_confirmed(Completion::Failed);
                started.refuse(Reason::UpstreamSilent)
            }
        };
        encode_statement(&statement)
    }

    fn not_run(&self, reason: Reason) -> Outcome {
        let arrived = ArrivedRequest::new(self.dispatch.request_id.clone());
        encode_statement(&arrived.refuse(reason, None))
    }

    fn log_dispatch(&self) {
        let now = self.home.shared.clock.now();
        let waited = now.saturating_sub(self.arrived_at);
        self.home.shared.metrics.record_duration("queue", waited);
        let details = DecisionDetails {
            rank: Some(self.dispatch.priority),
            waited_ms: Some(milliseconds(waited)),
            ..self.home.lock().upstream_load(now)
        };
        self.log(Step::Dispatched, "permitted", details);
    }

    fn log_end(&self, started_at: Duration, latency: Duration, status: u32) {
        let details = DecisionDetails {
            status: Some(status),
            target_latency_ms: Some(self.dispatch.target_latency_ms),
            waited_ms: Some(milliseconds(started_at.saturating_sub(self.arrived_at))),
            upstream_ms: Some(milliseconds(latency)),
            ..DecisionDetails::default()
        };
        self.log(Step::UpstreamAnswered, "answered", details);
    }

    fn log_refusal(&self, step: Step, outcome: &Outcome) {
        let Outcome::Refused(refused) = outcome else {
            return;
        };
        let now = self.home.shared.clock.now();
        self.home
            .shared
            .metrics
            .count_event("home", &refused.reason);
        let state = self.home.lock();
        let class = class_of(&self.dispatch);
        let details = DecisionDetails {
            ahead: Some(state.queue.count_ahead(self.dispatch.priority, class)),
            not_run: Some(refused.not_run),
            rank: Some(self.dispatch.priority),
            target_latency_ms: Some(self.dispatch.target_latency_ms),
            waited_ms: Some(milliseconds(now.saturating_sub(self.arrived_at))),
            ..state.upstream_load(now)
        };
        drop(state);
        self.log(step, &refused.reason, details);
    }

    fn log(&self, step: Step, reason: &str, details: DecisionDetails) {
        let shared = &self.home.shared;
        let grant = grant_of(&self.dispatch);
        shared.decisions.record(RequestDecision {
            details,
            fence: grant.as_ref().map(|(_, fence)| *fence),
            service: Some(self.dispatch.service.clone()),
            unit: grant.map(|(unit, _)| unit),
            view: step.is_failure().then(|| shared.summarize_view()),
            workspace: self.dispatch.workspace.clone(),
            ..shared.decision(step, &self.dispatch.request_id, reason)
        });
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let stage = match self.started_at {
            Some(_) => "upstream",
            None => "queue",
        };
        let metrics = &self.home.shared.metrics;
        metrics.count_event("caller-left", stage);
        let arrived = ArrivedRequest::new(self.dispatch.request_id.clone());
        let statement = match self.started_at {
            Some(started_at) => {
                // A second copy that comes too late says nothing about its home.
                if !self.dispatch.hedge {
                    let time = self.home.shared.clock.now().saturating_sub(started_at);
                    self.record_evidence(started_at, Observation::Left { time });
                }
                arrived.start().refuse(Reason::DeadlinePassed)
            }
            None => {
                self.home.cancel(&self.dispatch.request_id);
                arrived.refuse(Reason::DeadlinePassed, None)
            }
        };
        self.finish(&encode_statement(&statement));
    }
}

/// Reports whether a request was sent and no complete answer to it arrived.
fn is_lost(error: &DispatchError) -> bool {
    match error {
        DispatchError::ConnectionLost(_)
        | DispatchError::InvalidStatus(_)
        | DispatchError::MismatchedAnswer(_)
        | DispatchError::NoAnswer
        | DispatchError::TimedOut
        | DispatchError::TooLarge { .. }
        | DispatchError::Truncated(_) => true,
        DispatchError::Invalid(_)
        | DispatchError::NoConnection
        | DispatchError::NoMemory { .. }
        | DispatchError::NotRun(_)
        | DispatchError::NotSent(_) => false,
    }
}
