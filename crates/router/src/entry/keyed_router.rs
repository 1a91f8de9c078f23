//! Routing of requests of services with keys.

use std::sync::Arc;
use std::time::Duration;

use policy::AdmittedRequest;
use policy::Outcome;
use policy::Reason;
use policy::Refusal;
use policy::Resolution;
use policy::Statement;
use telemetry::Step;
use wire::Answer;
use wire::Dispatch;

use crate::clock::milliseconds;
use crate::entry::HomeClient;
use crate::entry::home_client::Reply;
use crate::entry::retry_after::retry_after;
use crate::entry::target::Target;
use crate::entry::trial_credits::TrialCredits;

/// Delay before the first retry. It doubles with each further retry.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Maximum delay before a retry.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Sends requests to the owners of their keys.
pub(crate) struct KeyedRouter {
    pub(crate) home_client: Arc<HomeClient>,
    pub(crate) trial_credits: TrialCredits,
}

impl KeyedRouter {
    /// Sends a request to the owner of its key. While the key has no owner, or its owner cannot serve it, the request is
    /// retried with exponential backoff until its queueing time or its deadline ends.
    pub(crate) async fn run(
        &self,
        mut admitted: AdmittedRequest,
        mut dispatch: Dispatch,
    ) -> Result<Answer, Refusal> {
        let deadline = admitted.head().deadline;
        let clock = self.home_client.shared.clock;
        let queue_deadline = clock.now() + Duration::from_millis(dispatch.queue_ms);
        let retry_until = deadline.min(queue_deadline);
        let mut retry_delay = INITIAL_RETRY_DELAY;
        let mut leaving = None;
        loop {
            let owner = self.find_owner(&dispatch);
            let reason = match (owner, &leaving) {
                // A home that refuses a request because it stops or is out of service would refuse it again, or end while it is
                // being sent.
                (Some(target), Some((grant, reason))) if target.grant == *grant => *reason,
                // Credit for the trial grows with the answers to other requests.
                (Some(target), _) if !self.may_try(&target, &dispatch) => Reason::Overloaded,
                (Some(target), _) => match self.attempt(admitted, &target, &mut dispatch).await {
                    AttemptResult::Answered(answer) => {
                        let view = self.home_client.shared.view();
                        self.trial_credits.record_answer(&view, &dispatch.service);
                        return Ok(answer);
                    }
                    AttemptResult::NotRun(returned, statement) => {
                        admitted = returned;
                        if !is_transient(&statement) {
                            let delay = retry_after(clock.now(), deadline);
                            let delay = delay.max(statement.retry_after().unwrap_or_default());
                            return Err(admitted.refuse(statement.reason(), Some(delay)));
                        }
                        if matches!(statement.reason(), Reason::Stopping | Reason::ZoneOut) {
                            leaving = Some((target.grant, statement.reason()));
                        }
                        statement.reason()
                    }
                    AttemptResult::Refused(refusal) => return Err(refusal),
                },
                (None, _) => Reason::NoOwner,
            };
            let now = clock.now();
            if now + retry_delay >= retry_until {
                let delay = retry_after(now, deadline);
                return Err(admitted.refuse(reason, Some(delay)));
            }
            tokio::time::sleep(retry_delay).await;
            retry_delay = MAX_RETRY_DELAY.min(retry_delay * 2);
        }
    }

    fn find_owner(&self, dispatch: &Dispatch) -> Option<Target> {
        let view = self.home_client.shared.view();
        let key = dispatch.key.as_deref()?;
        Target::owner(&view.fleet, &dispatch.service, key)
    }

    /// Reports whether a request may be sent to the owner of its key, which may be on trial.
    fn may_try(&self, target: &Target, dispatch: &Dispatch) -> bool {
        let shared = &self.home_client.shared;
        let view = shared.view();
        let may_try = self
            .trial_credits
            .try_take(&view, &dispatch.service, &target.vm);
        if !may_try {
            shared.metrics.count_event("rollout", "out-of-credit");
        }
        may_try
    }

    async fn attempt(
        &self,
        admitted: AdmittedRequest,
        target: &Target,
        dispatch: &mut Dispatch,
    ) -> AttemptResult {
        let deadline = admitted.head().deadline;
        let remaining = deadline.saturating_sub(self.home_client.shared.clock.now());
        dispatch.deadline_ms = milliseconds(remaining);
        let view = self.home_client.shared.view();
        dispatch.entry_offset = view.fleet.next_offset();
        dispatch.entry_revision = view.fleet.revision();
        if let Some((unit, fence)) = &target.grant {
            dispatch.unit = Some(unit.to_string());
            dispatch.fence = *fence;
        }
        let step = if dispatch.attempt == 0 {
            Step::Routed
        } else {
            Step::Retried
        };
        self.home_client.record(step, dispatch, target, "owner");
        dispatch.attempt += 1;
        let dispatched = admitted.dispatch(target.vm.clone());
        let (reply, _) = self
            .home_client
            .send(target, dispatch.clone(), deadline)
            .await;
        let statement = match reply {
            Reply::Answer(answer) => return AttemptResult::Answered(answer),
            Reply::Statement(statement) => statement,
        };
        match dispatched.record_statement(&target.vm, &statement) {
            Resolution::NotRun(admitted) => AttemptResult::NotRun(admitted, statement),
            Resolution::Open(dispatched) => {
                AttemptResult::Refused(dispatched.refuse(statement.reason()))
            }
        }
    }
}

/// Result of one attempt.
enum AttemptResult {
    Answered(Answer),
    NotRun(AdmittedRequest, Statement),
    Refused(Refusal),
}

/// Reports whether the request did not run and may succeed once the owner changes or recovers.
fn is_transient(statement: &Statement) -> bool {
    let reason = statement.reason();
    statement.outcome() == Outcome::NotRun
        && matches!(
            reason,
            Reason::LeaseLapsed
                | Reason::NotOwner
                | Reason::OwnerUnreachable
                | Reason::Stopping
                | Reason::UpstreamSilent
                | Reason::ZoneOut
        )
}
