//! Requests of services with keys.

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

/// Pause before a request is sent to an owner again.
const FIRST_PAUSE: Duration = Duration::from_millis(5);

/// Longest pause before a request is sent to an owner again.
const LONGEST_PAUSE: Duration = Duration::from_millis(100);

/// Sends requests to the owners of their keys.
pub(crate) struct KeyedRouter {
    pub(crate) home_client: Arc<HomeClient>,
}

impl KeyedRouter {
    /// Sends a request to the owner of its key. While the key passes to another owner, the request waits.
    pub(crate) async fn run(
        &self,
        mut admitted: AdmittedRequest,
        mut dispatch: Dispatch,
    ) -> Result<Answer, Refusal> {
        let deadline = admitted.head().deadline;
        let clock = self.home_client.shared.clock;
        let patience = clock.now() + Duration::from_millis(dispatch.queue_ms);
        let give_up = deadline.min(patience);
        let mut pause = FIRST_PAUSE;
        loop {
            let reason = match self.target(&dispatch) {
                Some(target) => match self.attempt(admitted, &target, &mut dispatch).await {
                    Attempt::Answered(answer) => return Ok(answer),
                    Attempt::NotRun(back, statement) => {
                        admitted = back;
                        if !is_passing(&statement) {
                            let pause = retry_after(clock.now(), deadline);
                            let pause = statement.retry_after().unwrap_or(pause);
                            return Err(admitted.refuse(statement.reason(), Some(pause)));
                        }
                        statement.reason()
                    }
                    Attempt::Refused(refusal) => return Err(refusal),
                },
                None => Reason::NoOwner,
            };
            let now = clock.now();
            if now + pause >= give_up {
                let pause = retry_after(now, deadline);
                return Err(admitted.refuse(reason, Some(pause)));
            }
            tokio::time::sleep(pause).await;
            pause = LONGEST_PAUSE.min(pause * 2);
        }
    }

    fn target(&self, dispatch: &Dispatch) -> Option<Target> {
        let view = self.home_client.shared.view();
        let key = dispatch.key.as_deref()?;
        Target::owner(&view.fleet, &dispatch.service, key)
    }

    async fn attempt(
        &self,
        admitted: AdmittedRequest,
        target: &Target,
        dispatch: &mut Dispatch,
    ) -> Attempt {
        let deadline = admitted.head().deadline;
        let left = deadline.saturating_sub(self.home_client.shared.clock.now());
        dispatch.deadline_ms = milliseconds(left);
        dispatch.entry_offset = self.home_client.shared.view().fleet.next();
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
        let reply = self
            .home_client
            .send(target, dispatch.clone(), deadline)
            .await;
        let statement = match reply {
            Reply::Answer(answer) => return Attempt::Answered(answer),
            Reply::Stated(statement) => statement,
        };
        match dispatched.record_statement(&target.vm, &statement) {
            Resolution::NotRun(admitted) => Attempt::NotRun(admitted, statement),
            Resolution::Open(dispatched) => Attempt::Refused(dispatched.refuse(statement.reason())),
        }
    }
}

/// What came of one attempt.
enum Attempt {
    Answered(Answer),
    NotRun(AdmittedRequest, Statement),
    Refused(Refusal),
}

/// Tells whether a refusal passes when the owner changes or comes back.
fn is_passing(statement: &Statement) -> bool {
    let reason = statement.reason();
    statement.outcome() == Outcome::NotRun
        && matches!(
            reason,
            Reason::LeaseLapsed
                | Reason::NotOwner
                | Reason::OwnerUnreachable
                | Reason::Stopping
                | Reason::UpstreamSilent
        )
}
