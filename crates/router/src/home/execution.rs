//! One request on its way through the home.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use policy::Arrived;
use policy::Completion;
use policy::Queued;
use policy::Reason;
use policy::Started;
use tokio::sync::oneshot;
use upstream::DispatchError;
use upstream::NotRun;
use wire::Dispatch;
use wire::Outcome;

use crate::clock::unix_ms;
use crate::decisions::RoutingDecision;
use crate::decisions::Step;
use crate::home::Home;
use crate::home::crash_report::CrashReport;
use crate::home::local_upstream::LocalUpstream;
use crate::home::messages::answer;
use crate::home::messages::grant_of;
use crate::home::messages::refused;
use crate::home::messages::upstream_request;
use crate::home::permit::Permit;
use crate::home::waiting::Waiting;

/// One request on its way through the home. Its outcome is remembered, also when it is dropped.
pub(crate) struct Execution {
    deadline: Duration,
    dispatch: Dispatch,
    home: Arc<Home>,
    is_finished: bool,
    is_started: bool,
}

impl Execution {
    pub(crate) fn new(home: Arc<Home>, dispatch: Dispatch) -> Self {
        let deadline = home.shared.clock.now() + Duration::from_millis(dispatch.deadline_ms);
        Self {
            deadline,
            dispatch,
            home,
            is_finished: false,
            is_started: false,
        }
    }

    /// Waits for the turn of the request, runs it, and remembers the outcome.
    pub(crate) async fn run(mut self) -> Outcome {
        let outcome = match self.permit().await {
            Ok(permit) => self.dispatch(permit).await,
            Err(outcome) => outcome,
        };
        self.finish(&outcome);
        outcome
    }

    fn finish(&mut self, outcome: &Outcome) {
        self.is_finished = true;
        self.home.finish(&self.dispatch.request_id, outcome);
    }

    async fn permit(&self) -> Result<Permit, Outcome> {
        let (tx, rx) = oneshot::channel();
        self.home.enqueue(Queued {
            deadline: self.queue_deadline(),
            id: self.dispatch.request_id.clone(),
            item: Waiting {
                arrived: self.home.shared.clock.now(),
                deadline: self.deadline,
                entry_offset: self.dispatch.entry_offset,
                fingerprint: self.dispatch.fingerprint.clone(),
                grant: grant_of(&self.dispatch),
                key: self.dispatch.key.clone(),
                target_latency: Duration::from_millis(self.dispatch.target_latency_ms),
                tenant_key: self.dispatch.tenant_key_hash.clone(),
                tx,
            },
            rank: self.dispatch.priority,
            weight: self.dispatch.weight,
            workspace: self.dispatch.workspace.clone().unwrap_or_default(),
        });
        let deadline = self.home.shared.clock.instant(self.deadline);
        match tokio::time::timeout_at(deadline.into(), rx).await {
            Ok(Ok(decided)) => decided,
            Ok(Err(_)) | Err(_) => {
                self.home.cancel(&self.dispatch.request_id);
                Err(self.not_run(Reason::DeadlinePassed))
            }
        }
    }

    /// Returns the time until which the request waits for its turn.
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
        let arrived = Arrived::new(self.dispatch.request_id.clone());
        let Some(upstream) = self.home.upstream() else {
            return self.not_run(Reason::UpstreamSilent);
        };
        let deadline = self.upstream_deadline();
        self.is_started = true;
        let started = arrived.start();
        self.log_dispatch();
        let request = upstream_request(&self.dispatch, &upstream.announcement.instance);
        permit.send(&upstream.client, &self.dispatch.request_id);
        let result = upstream.client.dispatch(request, deadline).await;
        let latency = self
            .home
            .shared
            .clock
            .now()
            .saturating_sub(permit.started());
        self.home.shared.metrics.time("upstream.latency", latency);
        match result {
            Ok(received) => {
                permit.end(Completion::Answered { latency });
                Outcome::Answer(answer(received))
            }
            Err(error) => self.fail(permit, started, &upstream, error).await,
        }
    }

    /// Returns the time at which nobody waits any more, or at which the request must have ended if that is earlier.
    fn upstream_deadline(&self) -> Instant {
        let run_until = self.home.shared.view().run_until;
        let bound = run_until.filter(|_| self.dispatch.unit.is_some());
        let deadline = bound.map_or(self.deadline, |bound| bound.min(self.deadline));
        self.home.shared.clock.instant(deadline)
    }

    async fn fail(
        &self,
        permit: Permit,
        started: Started,
        upstream: &LocalUpstream,
        error: DispatchError,
    ) -> Outcome {
        log::debug!("request {}: {error}", self.dispatch.request_id);
        let statement = match error {
            DispatchError::ConnectionLost(_) => {
                let crash = CrashReport {
                    home: &self.home,
                    upstream,
                };
                if crash.settle().await {
                    permit.end(Completion::Failed);
                    started.refuse(Reason::UpstreamCrashed)
                } else {
                    permit.end_when_confirmed(Completion::Failed);
                    started.refuse(Reason::UpstreamSilent)
                }
            }
            DispatchError::Crossed(_) => {
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
            DispatchError::NotRun(NotRun::Fence) => {
                permit.end(Completion::Cancelled);
                if let Some((unit, _)) = grant_of(&self.dispatch)
                    && upstream.announcement.polls_grants
                {
                    self.home.report_not_held(unit);
                }
                started.refuse_not_run(Reason::LeaseLapsed, None)
            }
            DispatchError::NotRun(NotRun::Other(_) | NotRun::Shed) => {
                permit.end(Completion::Shed);
                started.refuse_not_run(Reason::Shed, None)
            }
            DispatchError::NotSent(_) => {
                permit.end(Completion::Failed);
                self.home.control.event(membership::Event::UpstreamLost);
                started.refuse_not_run(Reason::UpstreamSilent, None)
            }
            DispatchError::Silent | DispatchError::TimedOut => {
                permit.end_when_confirmed(Completion::Failed);
                started.refuse(Reason::UpstreamSilent)
            }
            DispatchError::TooLarge { .. } => {
                permit.end_when_confirmed(Completion::Failed);
                started.refuse(Reason::AnswerTooLarge)
            }
            DispatchError::Truncated(_) => {
                permit.end_when_confirmed(Completion::Failed);
                started.refuse(Reason::UpstreamSilent)
            }
        };
        refused(&statement)
    }

    fn not_run(&self, reason: Reason) -> Outcome {
        let arrived = Arrived::new(self.dispatch.request_id.clone());
        refused(&arrived.refuse(reason, None))
    }

    fn log_dispatch(&self) {
        let vm = self.home.shared.vm.clone();
        let grant = grant_of(&self.dispatch);
        self.home.shared.decisions.record(RoutingDecision {
            time_unix_ms: unix_ms(),
            step: Step::Dispatched,
            request_id: self.dispatch.request_id.clone(),
            workspace: self.dispatch.workspace.clone(),
            unit: grant.as_ref().map(|(unit, _)| unit.clone()),
            fence: grant.map(|(_, fence)| fence),
            from: vm.clone(),
            to: Some(vm),
            reason: "permitted".to_owned(),
        });
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let arrived = Arrived::new(self.dispatch.request_id.clone());
        let statement = if self.is_started {
            arrived.start().refuse(Reason::DeadlinePassed)
        } else {
            self.home.cancel(&self.dispatch.request_id);
            arrived.refuse(Reason::DeadlinePassed, None)
        };
        self.finish(&refused(&statement));
    }
}
