//! The home of the units that this process owns.

use cluster::Body;
use ids::Fence;
use ids::RequestId;
use ids::Unit;
use membership::Event;
use policy::ArrivedRequest;
use policy::BeginDecision;
use policy::Completion;
use policy::PushResult;
use policy::QueuedRequest;
use policy::Reason;
use policy::Statement;
use policy::StatusReply;
use policy::Ticket;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use telemetry::RequestDecision;
use telemetry::Step;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use wire::Dispatch;
use wire::NotOwner;
use wire::Outcome;
use wire::Refused;
use wire::RequestStatus;
use wire::StatusQuery;

use crate::clock::unix_ms;
use crate::control::ControlSender;
use crate::home::Loads;
use crate::home::execution::Execution;
use crate::home::home_state::HomeState;
use crate::home::local_upstream::LocalUpstream;
use crate::home::messages::complete;
use crate::home::messages::grant_of;
use crate::home::messages::new_request;
use crate::home::messages::refused;
use crate::home::pump::Pump;
use crate::home::pump::refuse;
use crate::home::pump::refuse_late;
use crate::home::waiting::Waiting;
use crate::shared::Shared;
use crate::travel::Arrivals;
use crate::travel::Luggage;
use crate::view::View;

/// Longest time that a request waits because its idempotency key was made by a clock ahead of this one.
const LONGEST_CLOCK_WAIT: Duration = Duration::from_secs(2);

/// Time between two looks at the queue while requests wait.
const TICK: Duration = Duration::from_millis(20);

/// Time between two looks at the queue while it is empty.
const IDLE_TICK: Duration = Duration::from_millis(100);

/// Runs requests on the local upstream.
#[derive(Debug)]
pub(crate) struct Home {
    arrivals: Arc<Arrivals>,
    pub(crate) control: ControlSender,
    /// Told when a request waits.
    queued: Notify,
    pub(crate) shared: Arc<Shared>,
    state: Mutex<HomeState>,
}

impl Home {
    pub(crate) fn new(
        arrivals: Arc<Arrivals>,
        control: ControlSender,
        shared: Arc<Shared>,
    ) -> Self {
        let state = HomeState::new(shared.clock.now(), &shared.limits, &shared.policy);
        Self {
            arrivals,
            control,
            queued: Notify::new(),
            shared,
            state: Mutex::new(state),
        }
    }

    /// Runs a request, at most once, and returns what came of it.
    ///
    /// A request with an idempotency key runs to its end when the returned future is dropped.
    pub(crate) async fn run(self: &Arc<Self>, mut dispatch: Dispatch) -> Outcome {
        complete(&mut dispatch, &self.shared.view().fleet);
        self.await_clock(&dispatch).await;
        let begun = self.begin(&dispatch);
        match begun {
            Begun::Ended(outcome) => {
                self.log_turned_away(&dispatch, &outcome);
                outcome
            }
            Begun::Run => self.execute(dispatch).await,
            Begun::Watch(watched) => match watched.await {
                Ok(outcome) => outcome,
                Err(_) => refused(&self.unknown(&dispatch.request_id, Reason::UpstreamSilent)),
            },
        }
    }

    fn log_turned_away(&self, dispatch: &Dispatch, outcome: &Outcome) {
        let reason = match outcome {
            Outcome::Answer(_) => return,
            Outcome::NotOwner(_) => Reason::NotOwner.as_str(),
            Outcome::Refused(refused) => &refused.reason,
        };
        self.shared.metrics.count("home", reason);
        let grant = grant_of(dispatch);
        let id = &dispatch.request_id;
        self.shared.decisions.record(RequestDecision {
            belief: Some(self.shared.belief()),
            fence: grant.as_ref().map(|(_, fence)| *fence),
            service: Some(dispatch.service.clone()),
            unit: grant.map(|(unit, _)| unit),
            ..self.shared.decision(Step::TurnedAway, id, reason)
        });
    }

    /// Waits until an idempotency key that was made by a clock ahead of this one lies in the past.
    async fn await_clock(&self, dispatch: &Dispatch) {
        let Some(idempotency) = new_request(dispatch).idempotency else {
            return;
        };
        let wait = self
            .lock()
            .memory
            .time_until_valid(unix_ms(), &idempotency.key);
        if !wait.is_zero() {
            tokio::time::sleep(wait.min(LONGEST_CLOCK_WAIT)).await;
        }
    }

    async fn execute(self: &Arc<Self>, dispatch: Dispatch) -> Outcome {
        let request_id = dispatch.request_id.clone();
        let outlives_caller = dispatch.idempotency_key.is_some();
        let execution = Execution::new(Arc::clone(self), dispatch);
        if !outlives_caller {
            return execution.run().await;
        }
        match tokio::spawn(execution.run()).await {
            Ok(outcome) => outcome,
            Err(_) => refused(&self.unknown(&request_id, Reason::UpstreamSilent)),
        }
    }

    fn begin(&self, dispatch: &Dispatch) -> Begun {
        let view = self.shared.view();
        let now = self.shared.clock.now();
        let request = new_request(dispatch);
        let id = &dispatch.request_id;
        let not_run = |reason| {
            Begun::Ended(refused(
                &ArrivedRequest::new(id.clone()).refuse(reason, None),
            ))
        };
        let mut state = self.lock();
        state.use_upstream(now, &view, &self.shared);
        if let Some(unit) = &request.unit {
            match view.serving.get(unit) {
                Some(fence) if *fence == dispatch.fence => {
                    state.own(now, unit, *fence, &self.arrivals)
                }
                _ => return Begun::Ended(self.not_owner(&view)),
            }
        } else if self.shared.is_stopping() {
            return not_run(Reason::Stopping);
        }
        match state.memory.begin(now, unix_ms(), request) {
            BeginDecision::AlreadyRunning { first } => {
                let (tx, watched) = oneshot::channel();
                state.watchers.entry(first).or_default().push(tx);
                Begun::Watch(watched)
            }
            BeginDecision::Answered(answer) => Begun::Ended(Outcome::Answer(answer.0)),
            BeginDecision::BadKey => not_run(Reason::BadHeader),
            BeginDecision::Barred => not_run(Reason::DeadlinePassed),
            BeginDecision::Conflict => not_run(Reason::IdempotencyConflict),
            BeginDecision::Full => not_run(Reason::Overloaded),
            BeginDecision::Run => Begun::Run,
            BeginDecision::Unknown => {
                Begun::Ended(refused(&self.unknown(id, Reason::IdempotencyUnknown)))
            }
        }
    }

    /// Puts a request into the queue. The receiver gets its permit, or its refusal.
    pub(crate) fn enqueue(self: &Arc<Self>, mut queued: QueuedRequest<Waiting>) {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let Some(until) = state.wait_until(now, &queued) else {
            drop(state);
            refuse(queued, Reason::Overloaded);
            return;
        };
        queued.deadline = until;
        let refused = match state.queue.push(queued) {
            PushResult::Accepted => None,
            PushResult::Displaced(other) | PushResult::Full(other) => Some(other),
        };
        if let Some(other) = refused {
            refuse(other, Reason::Overloaded);
        }
        self.pump(&mut state);
        if !state.queue.is_empty() {
            self.queued.notify_one();
        }
    }

    /// Starts waiting requests while the upstream can take them.
    fn pump(self: &Arc<Self>, state: &mut HomeState) {
        Pump::new(self, state).run();
    }

    /// Ends a permit.
    pub(crate) fn release(self: &Arc<Self>, ticket: Ticket, completion: Completion) {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let cleared = state.end(now, ticket, completion);
        self.report_drained(&mut state);
        self.pump(&mut state);
        drop(state);
        if let Some(fingerprint) = cleared {
            self.clear(fingerprint);
        }
    }

    fn clear(&self, fingerprint: String) {
        let control = self.control.clone();
        let body = Body::ClearQuarantine { fingerprint };
        tokio::spawn(async move { control.append(body).await });
    }

    /// Tells the control thread which units are drained.
    fn report_drained(&self, state: &mut HomeState) {
        let units = state.take_drained();
        if !units.is_empty() {
            self.control.event(Event::Drained { units });
        }
    }

    /// Stops starting requests on units. The control thread has taken them out of the view before.
    pub(crate) fn drain(&self, units: BTreeSet<Unit>) {
        let mut state = self.lock();
        state.book.drain(units);
        self.report_drained(&mut state);
    }

    /// Takes back a drain.
    pub(crate) fn undrain(&self, units: &BTreeSet<Unit>) {
        self.lock().book.undrain(units);
    }

    /// Takes in what ended since the last call, and returns the loads of the units `owned`.
    pub(crate) fn loads(&self, owned: &BTreeSet<Unit>) -> Loads {
        let now = self.shared.clock.now();
        self.lock().book.loads(now, owned)
    }

    /// Returns what the next owner of a unit needs to know of its requests.
    pub(crate) fn export(&self, unit: &Unit, fence: Fence) -> Luggage {
        let now = self.shared.clock.now();
        let memory = self.lock().memory.export(now, unit);
        Luggage::requests(fence, memory)
    }

    /// Tells what became of a request, and bars one that has not arrived.
    pub(crate) fn fate(&self, ask: &StatusQuery) -> RequestStatus {
        let now = self.shared.clock.now();
        let unknown = |reason| {
            RequestStatus::Refused(Refused {
                reason: Reason::as_str(reason).to_owned(),
                not_run: false,
                retry_after_ms: 0,
            })
        };
        match self.lock().memory.query_or_bar(now, &ask.request_id) {
            StatusReply::Answered(answer) => RequestStatus::Answer(answer.0),
            StatusReply::Full => unknown(Reason::Overloaded),
            StatusReply::Lost => unknown(Reason::UpstreamSilent),
            StatusReply::Barred => RequestStatus::Barred,
            StatusReply::Running => RequestStatus::Running,
        }
    }

    /// Takes in that the entry has the answers to requests.
    pub(crate) fn acknowledge(&self, request_ids: &[RequestId]) {
        let mut state = self.lock();
        for request_id in request_ids {
            state.memory.acknowledge(request_id);
        }
    }

    /// Takes a request that waits out of the queue. One that runs ends with the call that brought it.
    pub(crate) fn cancel(&self, request_id: &str) {
        let cancelled = self.lock().queue.remove(request_id);
        drop(cancelled);
    }

    /// Looks after the queue until the process ends.
    pub(crate) async fn look_after(self: Arc<Self>) {
        loop {
            let is_empty = self.lock().queue.is_empty();
            let pause = if is_empty { IDLE_TICK } else { TICK };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.queued.notified(), if is_empty => continue,
            }
            let now = self.shared.clock.now();
            let view = self.shared.view();
            let mut state = self.lock();
            state.learn(&view);
            state.serve(now, &view, &self.arrivals);
            state.tick(now);
            for queued in state.queue.take_expired(now) {
                refuse_late(now, queued);
            }
            self.report_drained(&mut state);
            self.pump(&mut state);
        }
    }

    /// Waits until no request waits or runs.
    pub(crate) async fn idle(&self) {
        while self.counts() != (0, 0) {
            tokio::time::sleep(TICK).await;
        }
    }

    /// Remembers the outcome of a request.
    pub(crate) fn finish(&self, request_id: &str, outcome: &Outcome) {
        let now = self.shared.clock.now();
        self.lock().finish(now, request_id, outcome);
    }

    /// Returns the upstream that was accepted.
    pub(crate) fn upstream(&self) -> Option<LocalUpstream> {
        self.lock().upstream.clone()
    }

    /// Returns the number of requests that wait and that run.
    pub(crate) fn counts(&self) -> (usize, u32) {
        let state = self.lock();
        (state.queue.len(), state.limiter.in_flight())
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, HomeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn not_owner(&self, view: &View) -> Outcome {
        Outcome::NotOwner(NotOwner {
            offset: view.fleet.next_offset(),
        })
    }

    fn unknown(&self, request_id: &str, reason: Reason) -> Statement {
        ArrivedRequest::new(request_id.to_owned())
            .start()
            .refuse(reason)
    }
}

/// How a request begins.
enum Begun {
    /// It does not run now.
    Ended(Outcome),
    /// It runs.
    Run,
    /// It, or one with the same idempotency key, runs already.
    Watch(oneshot::Receiver<Outcome>),
}
