//! Dispatch, retries and hedging of one request of a service without keys.

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
use policy::CostKey;
use policy::DispatchedRequest;
use policy::HomeWork;
use policy::Reason;
use policy::Refusal;
use policy::RequestHead;
use policy::RequestKind;
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
use crate::entry::KeylessRouter;
use crate::entry::home_client::Reply;
use crate::entry::retry_after::retry_after;
use crate::entry::target::Target;
use crate::links::SILENCE_TIMEOUT;
use crate::request_cost::cost_key;

/// Interval between checks whether the homes of a request are silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// One request of a service without keys, with its copies in flight.
pub(crate) struct KeylessRequest<'a> {
    dispatch: Dispatch,
    excluded: BTreeSet<VmId>,
    hedge_at: Option<Instant>,
    kind: RequestKind,
    router: &'a KeylessRouter,
    replies: FuturesUnordered<BoxFuture<'a, (VmId, Reply)>>,
    /// Time of the next check whether the homes of the request are silent.
    silence_check_at: Option<Instant>,
}

/// A copy of a request in flight to a home. A copy that is dropped before its reply counts as cancelled.
struct InFlight<'a> {
    /// Time until which the home cannot start another request, if it has said so.
    busy_until: Option<Duration>,
    completion: Completion,
    kind: RequestKind,
    router: &'a KeylessRouter,
    service: String,
    started: Duration,
    target_latency: Duration,
    ticket: Ticket,
    vm: VmId,
}

impl<'a> KeylessRequest<'a> {
    pub(crate) fn new(router: &'a KeylessRouter, dispatch: Dispatch) -> Self {
        let shared = &router.home_client.shared;
        let cost_key = match shared.policy.places_by_cost() {
            true => cost_key(&shared.view().fleet, &dispatch),
            false => CostKey::default(),
        };
        let kind = RequestKind {
            cost_key,
            target_latency: Duration::from_millis(dispatch.target_latency_ms),
        };
        Self {
            dispatch,
            excluded: BTreeSet::new(),
            hedge_at: None,
            kind,
            router,
            replies: FuturesUnordered::new(),
            silence_check_at: None,
        }
    }

    /// Sends the request, and retries it until it is answered or must not or cannot be sent again.
    pub(crate) async fn run(mut self, mut admitted: AdmittedRequest) -> Result<Answer, Refusal> {
        loop {
            let Some((target, reason)) = self.choose_target() else {
                let delay = self.retry_after(admitted.head().deadline);
                return Err(admitted.refuse(Reason::NoOwner, Some(delay)));
            };
            let deadline = admitted.head().deadline;
            let dispatched = admitted.dispatch(target.vm.clone());
            self.send(target, Step::Routed, &reason, deadline);
            let (returned, statement) = match self.wait_for_answer(dispatched).await {
                RoundResult::Answered(answer) => return Ok(answer),
                RoundResult::NotRun(returned, statement) => (returned, statement),
                RoundResult::Refused(refusal) => return Err(refusal),
            };
            admitted = returned;
            match self.decide_retry(admitted.head(), &statement) {
                RetryDecision::After(delay) => tokio::time::sleep(delay).await,
                RetryDecision::GiveUp => {
                    let delay = self.retry_after(admitted.head().deadline);
                    let delay = delay.max(statement.retry_after().unwrap_or_default());
                    return Err(admitted.refuse(statement.reason(), Some(delay)));
                }
            }
        }
    }

    /// Waits for the first answer, and hedges or retries an idempotent request in the meantime.
    async fn wait_for_answer(&mut self, mut dispatched: DispatchedRequest) -> RoundResult {
        self.schedule_hedge(&dispatched);
        loop {
            let (vm, reply) = tokio::select! {
                Some(reply) = self.replies.next() => reply,
                () = wait_until(self.hedge_at) => {
                    self.hedge(&mut dispatched);
                    continue;
                }
                () = wait_until(self.silence_check_at) => {
                    self.resend_if_silent(&mut dispatched);
                    continue;
                }
            };
            let statement = match reply {
                Reply::Answer(answer) => return RoundResult::Answered(answer),
                Reply::Statement(statement) => statement,
            };
            dispatched = match dispatched.record_statement(&vm, &statement) {
                Resolution::NotRun(admitted) => return RoundResult::NotRun(admitted, statement),
                Resolution::Open(open) => open,
            };
            if dispatched.open_homes().is_empty()
                && !self.retry_unknown(&mut dispatched, &statement).await
            {
                return RoundResult::Refused(dispatched.refuse(statement.reason()));
            }
        }
    }

    fn choose_target(&self) -> Option<(Target, String)> {
        self.router
            .choose_target(&self.dispatch, &self.kind, &self.excluded)
    }

    fn retry_after(&self, deadline: Duration) -> Duration {
        retry_after(self.router.home_client.shared.clock.now(), deadline)
    }

    fn target_latency(&self) -> Duration {
        Duration::from_millis(self.dispatch.target_latency_ms)
    }

    fn schedule_hedge(&mut self, dispatched: &DispatchedRequest) {
        let may_hedge = self.dispatch.idempotent
            && dispatched.has_attempts_left()
            && !self.router.is_suspect(&self.dispatch);
        self.hedge_at = may_hedge.then(|| {
            let target_latency = self.target_latency();
            let delay = self.router.with_service(&self.dispatch.service, |service| {
                service.hedge_delay(target_latency)
            });
            Instant::now() + delay
        });
    }

    fn hedge(&mut self, dispatched: &mut DispatchedRequest) {
        self.hedge_at = None;
        // A retry may have used the last attempt since the hedge was scheduled.
        if !dispatched.has_attempts_left() {
            return;
        }
        let is_in_budget = self.router.with_service(&self.dispatch.service, |service| {
            service.retry_budget.try_spend()
        });
        if is_in_budget {
            self.send_copy(dispatched, Step::Hedged);
        } else {
            let metrics = &self.router.home_client.shared.metrics;
            metrics.count_event("extra-request", "out-of-budget");
        }
    }

    /// Sends an idempotent request to another home if all homes that have it are silent. That uses no retry budget, since
    /// a copy that is lost in transit reaches no upstream.
    fn resend_if_silent(&mut self, dispatched: &mut DispatchedRequest) {
        let links = &self.router.home_client.links;
        let are_silent = dispatched.open_homes().iter().all(|vm| links.is_silent(vm));
        self.silence_check_at = None;
        if !dispatched.has_attempts_left() {
            return;
        }
        if !are_silent || !self.send_copy(dispatched, Step::Retried) {
            self.silence_check_at = Some(Instant::now() + SILENCE_CHECK_INTERVAL);
        }
    }

    /// Sends an idempotent request with unknown outcome to another home, if the retry budget allows it. Reports whether a
    /// copy was sent.
    async fn retry_unknown(
        &mut self,
        dispatched: &mut DispatchedRequest,
        statement: &Statement,
    ) -> bool {
        if !dispatched.has_attempts_left() {
            return false;
        }
        match self.decide_retry(dispatched.head(), statement) {
            RetryDecision::After(delay) => {
                tokio::time::sleep(delay).await;
                self.send_copy(dispatched, Step::Retried)
            }
            RetryDecision::GiveUp => false,
        }
    }

    fn send_copy(&mut self, dispatched: &mut DispatchedRequest, step: Step) -> bool {
        let Some((target, reason)) = self.choose_target() else {
            return false;
        };
        let is_new =
            !dispatched.open_homes().contains(&target.vm) && dispatched.add_home(target.vm.clone());
        if is_new {
            self.send(target, step, &reason, dispatched.head().deadline);
        }
        is_new
    }

    /// Decides whether the request is retried.
    fn decide_retry(&self, head: &RequestHead, statement: &Statement) -> RetryDecision {
        let now = self.router.home_client.shared.clock.now();
        let (outcome, reason) = (statement.outcome(), statement.reason());
        let attempts = self.dispatch.attempt;
        self.router.with_service(&self.dispatch.service, |service| {
            decide_retry(
                now,
                head,
                attempts,
                outcome,
                reason,
                &mut service.retry_budget,
            )
        })
    }

    fn send(&mut self, target: Target, step: Step, reason: &str, deadline: Duration) {
        let home_client = &self.router.home_client;
        let now = home_client.shared.clock.now();
        let remaining = deadline.saturating_sub(now);
        self.dispatch.deadline_ms = milliseconds(remaining);
        self.dispatch.hedge = matches!(step, Step::Hedged);
        home_client.record(step, &self.dispatch, &target, reason);
        self.dispatch.attempt += 1;
        let may_resend = self.dispatch.idempotent && !self.router.is_suspect(&self.dispatch);
        self.silence_check_at = may_resend.then(|| Instant::now() + SILENCE_TIMEOUT);
        self.excluded.insert(target.vm.clone());
        let ticket = self.router.with_service(&self.dispatch.service, |service| {
            service.record_start(now, &target.vm, &self.kind)
        });
        let mut in_flight = InFlight {
            busy_until: None,
            completion: Completion::Cancelled,
            kind: self.kind.clone(),
            router: self.router,
            service: self.dispatch.service.clone(),
            started: now,
            target_latency: self.target_latency(),
            ticket,
            vm: target.vm.clone(),
        };
        let dispatch = self.dispatch.clone();
        let send_and_complete = async move {
            let (reply, work) = home_client.send(&target, dispatch, deadline).await;
            in_flight.complete(&reply, work);
            (target.vm, reply)
        };
        self.replies.push(send_and_complete.boxed());
    }
}

impl InFlight<'_> {
    fn complete(&mut self, reply: &Reply, work: Option<HomeWork>) {
        let now = self.router.home_client.shared.clock.now();
        if let Some(work) = work {
            self.router.with_service(&self.service, |service| {
                service.record_work(now, &self.vm, &self.kind, work);
            });
        }
        match reply {
            Reply::Answer(_) => {
                let latency = now.saturating_sub(self.started);
                self.completion = Completion::Answered { latency };
                self.router
                    .with_service(&self.service, |service| service.record_answer());
            }
            Reply::Statement(statement) => {
                self.busy_until = busy_time(statement).map(|busy| now + busy);
                self.completion = completion_of(statement.reason());
            }
        }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let now = self.router.home_client.shared.clock.now();
        self.router.with_service(&self.service, |service| {
            let target_latency = self.target_latency;
            if let Some(until) = self.busy_until {
                service.record_busy(&self.vm, until);
            }
            service.record_completion(now, &self.vm, self.ticket, target_latency, self.completion);
        });
    }
}

/// Returns how long a home cannot start another request, if it has refused one for the rate limit of its upstream.
fn busy_time(statement: &Statement) -> Option<Duration> {
    let is_overloaded = statement.reason() == Reason::Overloaded;
    statement.retry_after().filter(|_| is_overloaded)
}

/// Returns how a refusal counts in the statistics of the upstream.
fn completion_of(reason: Reason) -> Completion {
    match reason {
        Reason::Overloaded | Reason::Shed => Completion::Shed,
        other if other.is_caused_by_request() => Completion::Cancelled,
        _ => Completion::Failed,
    }
}

/// Result of one round of copies.
enum RoundResult {
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
