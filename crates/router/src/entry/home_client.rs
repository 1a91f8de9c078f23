//! Dispatch of requests from this entry to homes.

use std::sync::Arc;
use std::time::Duration;

use policy::HomeWork;
use policy::Outcome as RunOutcome;
use policy::Reason;
use policy::Statement;
use telemetry::DecisionDetails;
use telemetry::RequestDecision;
use telemetry::Step;
use wire::Answer;
use wire::CallError;
use wire::Dispatch;
use wire::Link;
use wire::Outcome;

use crate::entry::Acknowledgments;
use crate::entry::outcome_query::OutcomeQuery;
use crate::entry::request_cancellation::CancelOnDrop;
use crate::entry::request_cancellation::RequestCancellation;
use crate::entry::target::Target;
use crate::home::Home;
use crate::home::clear_derived_fields;
use crate::home::decode_statement;
use crate::links::LinkPool;
use crate::request_cost::decode_work;
use crate::shared::Shared;

/// Time after the deadline in which the home can still report that it did not run the request.
const HOME_GRACE: Duration = Duration::from_millis(100);

/// Result of sending a request to a home.
#[derive(Debug)]
pub(crate) enum Reply {
    /// The complete answer.
    Answer(Answer),
    /// Statement of the home, or of this process, about the outcome of the request.
    Statement(Statement),
}

/// Sends requests to homes, including the one in this process.
pub(crate) struct HomeClient {
    pub(crate) acknowledgments: Arc<Acknowledgments>,
    pub(crate) home: Arc<Home>,
    pub(crate) links: Arc<LinkPool>,
    pub(crate) shared: Arc<Shared>,
}

impl HomeClient {
    /// Sends a request, and queries its outcome if the link breaks before the answer arrives. Returns what the home states of
    /// its work as well, if it does.
    pub(crate) async fn send(
        &self,
        target: &Target,
        dispatch: Dispatch,
        deadline: Duration,
    ) -> (Reply, Option<HomeWork>) {
        let request_id = dispatch.request_id.clone();
        if target.vm == self.shared.vm {
            let kind = self.home.cost_key_of(&dispatch);
            let outcome = self.home.run(dispatch).await;
            let work = kind.and_then(|kind| self.home.work(&kind));
            if matches!(outcome, Outcome::Answer(_)) {
                self.home.acknowledge(std::slice::from_ref(&request_id));
            }
            return (outcome_reply(&request_id, outcome), work);
        }
        let Some(link) = self.links.link(&target.vm, target.address).await else {
            return (not_run(&request_id, Reason::OwnerUnreachable), None);
        };
        self.send_over(&link, target, dispatch, deadline).await
    }

    async fn send_over(
        &self,
        link: &Link,
        target: &Target,
        mut dispatch: Dispatch,
        deadline: Duration,
    ) -> (Reply, Option<HomeWork>) {
        clear_derived_fields(&mut dispatch);
        let request_id = dispatch.request_id.clone();
        let needs_acknowledgment = !dispatch.idempotent;
        let cancellation = CancelOnDrop::new(RequestCancellation {
            address: target.address,
            deadline,
            link: link.clone(),
            links: Arc::clone(&self.links),
            request_id: request_id.clone(),
            shared: Arc::clone(&self.shared),
            vm: target.vm.clone(),
        });
        let remaining = deadline.saturating_sub(self.shared.clock.now());
        let sent = self.shared.clock.now();
        let mut work = None;
        let reply = match link.dispatch(dispatch, remaining + HOME_GRACE).await {
            Ok(outcome) => {
                let elapsed = self.shared.clock.now().saturating_sub(sent);
                self.shared.metrics.record_duration("peer", elapsed);
                if needs_acknowledgment && matches!(outcome, Outcome::Answer(_)) {
                    self.acknowledgments.add(link, request_id.clone());
                }
                work = outcome.load().as_ref().map(decode_work);
                outcome_reply(&request_id, outcome)
            }
            Err(CallError::Busy) => not_run(&request_id, Reason::Overloaded),
            Err(CallError::TooLarge { .. }) => not_run(&request_id, Reason::BodyTooLarge),
            Err(CallError::NotSent) => not_run(&request_id, Reason::OwnerUnreachable),
            Err(CallError::Unknown) => {
                let query = OutcomeQuery {
                    deadline,
                    links: &self.links,
                    incarnation: link.peer().incarnation,
                    request_id: &request_id,
                    sent_at: sent,
                    shared: &self.shared,
                    target,
                };
                self.query_outcome(query).await
            }
        };
        cancellation.disarm();
        (reply, work)
    }

    /// Queries the home for the outcome of a request whose answer did not arrive.
    async fn query_outcome(&self, query: OutcomeQuery<'_>) -> Reply {
        self.links.discard(&query.target.vm).await;
        let reply = query.run().await;
        let reason = match &reply {
            Reply::Answer(_) => "answered",
            Reply::Statement(statement) => statement.outcome().as_str(),
        };
        self.record_details(
            Step::Resolved,
            query.request_id,
            query.target,
            reason,
            DecisionDetails::default(),
        );
        reply
    }

    /// Records the decision to send a request to a home.
    pub(crate) fn record(&self, step: Step, dispatch: &Dispatch, target: &Target, reason: &str) {
        self.record_details(
            step,
            &dispatch.request_id,
            target,
            reason,
            DecisionDetails {
                attempt: Some(dispatch.attempt),
                deadline_left_ms: Some(dispatch.deadline_ms),
                rank: Some(dispatch.priority),
                ..DecisionDetails::default()
            },
        );
    }

    fn record_details(
        &self,
        step: Step,
        request_id: &str,
        target: &Target,
        reason: &str,
        details: DecisionDetails,
    ) {
        if step == Step::Hedged || step == Step::Retried {
            self.shared.metrics.count_event("extra-request", reason);
        }
        let grant = target.grant.clone();
        self.shared.decisions.record(RequestDecision {
            details,
            fence: grant.as_ref().map(|(_, fence)| *fence),
            to: Some(target.vm.clone()),
            unit: grant.map(|(unit, _)| unit),
            view: Some(self.shared.summarize_view()),
            ..self.shared.decision(step, request_id, reason)
        });
    }
}

fn outcome_reply(request_id: &str, outcome: Outcome) -> Reply {
    match outcome {
        Outcome::Answer(answer) => Reply::Answer(answer),
        Outcome::NotOwner(_) => not_run(request_id, Reason::NotOwner),
        Outcome::Refused(refused) => Reply::Statement(decode_statement(request_id, &refused)),
    }
}

/// Returns the statement that a request did not run, which this process knows because the home reported it or never
/// received the request.
pub(crate) fn not_run(request_id: &str, reason: Reason) -> Reply {
    let request_id = request_id.to_owned();
    Reply::Statement(Statement::from_home(
        request_id,
        RunOutcome::NotRun,
        reason,
        None,
    ))
}
