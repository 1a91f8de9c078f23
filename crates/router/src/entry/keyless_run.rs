//! One request of a service without keys.

use std::collections::BTreeSet;
use std::future::pending;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use ids::VmId;
use policy::AdmittedRequest;
use policy::Completion;
use policy::DispatchedRequest;
use policy::Reason;
use policy::Refusal;
use policy::RequestHead;
use policy::Resolution;
use policy::RetryDecision;
use policy::Statement;
use policy::Ticket;
use policy::decide_retry;
use telemetry::Step;
use tokio::time::Instant;
use tokio::time::sleep_until;
use wire::Answer;
use wire::Dispatch;

use crate::clock::milliseconds;
use crate::entry::Keyless;
use crate::entry::call_home::Reply;
use crate::entry::retry_after::retry_after;
use crate::entry::target::Target;
use crate::links::SILENCE_TIMEOUT;

/// Time between two looks whether a home gives any sign.
const SILENCE_PAUSE: Duration = Duration::from_millis(100);

/// One request of a service without keys, with the copies of it that are on their way.
pub(crate) struct KeylessRun<'a> {
    /// Most upstreams that may run the request, absent for the number of this product.
    attempts: Option<u32>,
    dispatch: Dispatch,
    excluded: BTreeSet<VmId>,
    hedge_at: Option<Instant>,
    keyless: &'a Keyless,
    replies: FuturesUnordered<BoxFuture<'a, (VmId, Reply)>>,
    /// Time of the next look whether the home gives any sign.
    silence_at: Option<Instant>,
}

/// A copy of a request on its way to a home. It ends as cancelled when it is dropped.
struct InFlight<'a> {
    completion: Completion,
    keyless: &'a Keyless,
    service: String,
    started: Duration,
    target_latency: Duration,
    ticket: Ticket,
    vm: VmId,
}

impl<'a> KeylessRun<'a> {
    pub(crate) fn new(keyless: &'a Keyless, dispatch: Dispatch, attempts: Option<u32>) -> Self {
        Self {
            attempts,
            dispatch,
            excluded: BTreeSet::new(),
            hedge_at: None,
            keyless,
            replies: FuturesUnordered::new(),
            silence_at: None,
        }
    }

    /// Sends the request until it has an answer, or must not or cannot be sent again.
    pub(crate) async fn run(mut self, mut admitted: AdmittedRequest) -> Result<Answer, Refusal> {
        loop {
            let Some((target, reason)) = self.keyless.target(&self.dispatch, &self.excluded) else {
                let pause = self.retry_after(admitted.head().deadline);
                return Err(admitted.refuse(Reason::NoOwner, Some(pause)));
            };
            let deadline = admitted.head().deadline;
            let dispatched = admitted.dispatch(target.vm.clone());
            self.send(target, Step::Routed, &reason, deadline);
            let (back, statement) = match self.wait(dispatched).await {
                Ended::Answered(answer) => return Ok(answer),
                Ended::NotRun(back, statement) => (back, statement),
                Ended::Refused(refusal) => return Err(refusal),
            };
            admitted = back;
            match self.decide_retry(admitted.head(), &statement) {
                RetryDecision::After(pause) => tokio::time::sleep(pause).await,
                RetryDecision::GiveUp => {
                    let pause = self.retry_after(admitted.head().deadline);
                    let pause = statement.retry_after().unwrap_or(pause);
                    return Err(admitted.refuse(statement.reason(), Some(pause)));
                }
            }
        }
    }

    /// Waits for the first answer, and hedges or retries an idempotent request meanwhile.
    async fn wait(&mut self, mut dispatched: DispatchedRequest) -> Ended {
        self.plan_hedge();
        loop {
            let (vm, reply) = tokio::select! {
                Some(reply) = self.replies.next() => reply,
                () = wait_until(self.hedge_at) => {
                    self.hedge(&mut dispatched);
                    continue;
                }
                () = wait_until(self.silence_at) => {
                    self.replace_silent(&mut dispatched);
                    continue;
                }
            };
            let statement = match reply {
                Reply::Answer(answer) => return Ended::Answered(answer),
                Reply::Stated(statement) => statement,
            };
            dispatched = match dispatched.record_statement(&vm, &statement) {
                Resolution::NotRun(admitted) => return Ended::NotRun(admitted, statement),
                Resolution::Open(open) => open,
            };
            if dispatched.open_homes().is_empty()
                && !self.retry_unknown(&mut dispatched, &statement).await
            {
                return Ended::Refused(dispatched.refuse(statement.reason()));
            }
        }
    }

    fn retry_after(&self, deadline: Duration) -> Duration {
        retry_after(self.keyless.homes.shared.clock.now(), deadline)
    }

    /// Tells whether one more upstream may run the request.
    fn has_attempts(&self) -> bool {
        self.attempts
            .is_none_or(|attempts| self.dispatch.attempt < attempts)
    }

    fn target_latency(&self) -> Duration {
        Duration::from_millis(self.dispatch.target_latency_ms)
    }

    fn plan_hedge(&mut self) {
        let may_hedge = self.dispatch.idempotent
            && self.has_attempts()
            && !self.keyless.is_suspect(&self.dispatch);
        self.hedge_at = may_hedge.then(|| {
            let target = self.target_latency();
            let delay = self.keyless.with(&self.dispatch.service, |service| {
                service.hedge_delay(target)
            });
            Instant::now() + delay
        });
    }

    fn hedge(&mut self, dispatched: &mut DispatchedRequest) {
        self.hedge_at = None;
        let budget_left = self
            .keyless
            .with(&self.dispatch.service, |service| service.budget.try_spend());
        if budget_left {
            self.send_another(dispatched, Step::Hedged);
        } else {
            let metrics = &self.keyless.homes.shared.metrics;
            metrics.count_event("extra-request", "out-of-budget");
        }
    }

    /// Sends an idempotent request to another home if those that have it give no sign. That uses no budget, since what is
    /// lost on its way reaches no upstream.
    fn replace_silent(&mut self, dispatched: &mut DispatchedRequest) {
        let links = &self.keyless.homes.links;
        let are_silent = dispatched.open_homes().iter().all(|vm| links.is_silent(vm));
        self.silence_at = None;
        if !self.has_attempts() {
            return;
        }
        if !are_silent || !self.send_another(dispatched, Step::Retried) {
            self.silence_at = Some(Instant::now() + SILENCE_PAUSE);
        }
    }

    /// Sends an idempotent request with unknown outcome to another home, where the budget allows it.
    async fn retry_unknown(
        &mut self,
        dispatched: &mut DispatchedRequest,
        statement: &Statement,
    ) -> bool {
        if !self.has_attempts() {
            return false;
        }
        match self.decide_retry(dispatched.head(), statement) {
            RetryDecision::After(pause) => {
                tokio::time::sleep(pause).await;
                self.send_another(dispatched, Step::Retried)
            }
            RetryDecision::GiveUp => false,
        }
    }

    fn send_another(&mut self, dispatched: &mut DispatchedRequest, step: Step) -> bool {
        let Some((target, reason)) = self.keyless.target(&self.dispatch, &self.excluded) else {
            return false;
        };
        let is_new =
            !dispatched.open_homes().contains(&target.vm) && dispatched.add_home(target.vm.clone());
        if is_new {
            self.send(target, step, &reason, dispatched.head().deadline);
        }
        is_new
    }

    /// Decides whether the request is sent again.
    fn decide_retry(&self, head: &RequestHead, statement: &Statement) -> RetryDecision {
        let now = self.keyless.homes.shared.clock.now();
        let (outcome, reason) = (statement.outcome(), statement.reason());
        let attempts = self.dispatch.attempt;
        self.keyless.with(&self.dispatch.service, |service| {
            decide_retry(now, head, attempts, outcome, reason, &mut service.budget)
        })
    }

    fn send(&mut self, target: Target, step: Step, reason: &str, deadline: Duration) {
        let homes = &self.keyless.homes;
        let now = homes.shared.clock.now();
        let left = deadline.saturating_sub(now);
        self.dispatch.deadline_ms = milliseconds(left);
        self.dispatch.hedge = matches!(step, Step::Hedged);
        homes.record(step, &self.dispatch, &target, reason);
        self.dispatch.attempt += 1;
        let may_replace = self.dispatch.idempotent && !self.keyless.is_suspect(&self.dispatch);
        self.silence_at = may_replace.then(|| Instant::now() + SILENCE_TIMEOUT);
        self.excluded.insert(target.vm.clone());
        let ticket = self.keyless.with(&self.dispatch.service, |service| {
            service.start(now, &target.vm)
        });
        let mut in_flight = InFlight {
            completion: Completion::Cancelled,
            keyless: self.keyless,
            service: self.dispatch.service.clone(),
            started: now,
            target_latency: self.target_latency(),
            ticket,
            vm: target.vm.clone(),
        };
        let dispatch = self.dispatch.clone();
        let sending = async move {
            let reply = homes.send(&target, dispatch, deadline).await;
            in_flight.complete(&reply);
            (target.vm, reply)
        };
        self.replies.push(sending.boxed());
    }
}

impl InFlight<'_> {
    fn complete(&mut self, reply: &Reply) {
        let now = self.keyless.homes.shared.clock.now();
        self.completion = match reply {
            Reply::Answer(_) => Completion::Answered {
                latency: now.saturating_sub(self.started),
            },
            Reply::Stated(statement) => completion_of(statement.reason()),
        };
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let now = self.keyless.homes.shared.clock.now();
        self.keyless.with(&self.service, |service| {
            let target = self.target_latency;
            service.end(now, &self.vm, self.ticket, target, self.completion);
        });
    }
}

/// Returns what a refusal says about the upstream.
fn completion_of(reason: Reason) -> Completion {
    match reason {
        Reason::Overloaded | Reason::Shed => Completion::Shed,
        other if other.is_caused_by_request() => Completion::Cancelled,
        _ => Completion::Failed,
    }
}

/// How one round of copies ended.
enum Ended {
    Answered(Answer),
    NotRun(AdmittedRequest, Statement),
    Refused(Refusal),
}

async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => pending().await,
    }
}
