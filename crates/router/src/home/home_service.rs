//! Service that runs the requests for the units that this process owns.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cluster::Body;
use httpd::ByteReservation;
use ids::Fence;
use ids::Offset;
use ids::RequestId;
use ids::Unit;
use membership::Event;
use policy::ArrivedRequest;
use policy::BeginDecision;
use policy::CallForecast;
use policy::Completion;
use policy::CostKey;
use policy::HomeWork;
use policy::PushResult;
use policy::QueuedRequest;
use policy::Reason;
use policy::RunningParent;
use policy::Statement;
use policy::StatusReply;
use policy::Ticket;
use policy::UpstreamEvidence;
use telemetry::RequestDecision;
use telemetry::Step;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use wire::Barred;
use wire::Dispatch;
use wire::NotOwner;
use wire::Outcome;
use wire::Refused;
use wire::RequestStatus;
use wire::StatusQuery;

use crate::clock::unix_ms;
use crate::control::ControlSender;
use crate::handover::HandoverState;
use crate::handover::IncomingHandovers;
use crate::home::Loads;
use crate::home::execution::Execution;
use crate::home::home_state::HomeState;
use crate::home::local_upstream::LocalUpstream;
use crate::home::messages::encode_statement;
use crate::home::messages::grant_of;
use crate::home::messages::new_request;
use crate::home::messages::restore_derived_fields;
use crate::home::request_starter::RequestStarter;
use crate::home::request_starter::refuse;
use crate::home::request_starter::refuse_until;
use crate::home::route_name::route_name;
use crate::home::waiting_request::WaitingRequest;
use crate::request_cost::cost_key;
use crate::rollout::Observation;
use crate::shared::Shared;
use crate::view::View;

/// Longest time that a request waits because its idempotency key was created by a clock ahead of this one.
const LONGEST_CLOCK_WAIT: Duration = Duration::from_secs(2);

/// Runs requests on the local upstream.
#[derive(Debug)]
pub(crate) struct Home {
    /// Total size of the bodies of the requests that wait or run, in bytes.
    body_bytes: Arc<AtomicUsize>,
    /// Calls of the requests that ran here, and their outcomes. Locked after the state where both are.
    call_forecast: Mutex<CallForecast>,
    pub(crate) handovers: Arc<IncomingHandovers>,
    /// Whether a request that ran here has made a call.
    has_made_calls: AtomicBool,
    pub(crate) control: ControlSender,
    /// Notified when a request waits.
    pub(crate) queued: Notify,
    pub(crate) shared: Arc<Shared>,
    state: Mutex<HomeState>,
}

impl Home {
    pub(crate) fn new(
        handovers: Arc<IncomingHandovers>,
        control: ControlSender,
        shared: Arc<Shared>,
    ) -> Self {
        let state = HomeState::new(shared.clock.now(), &shared.limits, &shared.policy);
        Self {
            body_bytes: Arc::default(),
            call_forecast: Mutex::default(),
            handovers,
            has_made_calls: AtomicBool::new(false),
            control,
            queued: Notify::new(),
            shared,
            state: Mutex::new(state),
        }
    }

    /// Runs a request at most once, and returns its outcome.
    ///
    /// A request with an idempotency key runs to completion even if the returned future is dropped.
    pub(crate) async fn run(self: &Arc<Self>, mut dispatch: Dispatch) -> Outcome {
        restore_derived_fields(&mut dispatch, &self.shared.view().fleet);
        self.wait_for_clock(&dispatch).await;
        let begun = self.begin(&dispatch);
        match begun {
            BeginResult::Ended(outcome) => {
                self.log_refusal(&dispatch, &outcome);
                outcome
            }
            BeginResult::Run => self.execute(dispatch).await,
            BeginResult::Watch(watched) => match watched.await {
                Ok(outcome) => outcome,
                Err(_) => {
                    encode_statement(&self.unknown(&dispatch.request_id, Reason::UpstreamSilent))
                }
            },
        }
    }

    fn log_refusal(&self, dispatch: &Dispatch, outcome: &Outcome) {
        let reason = match outcome {
            Outcome::Answer(_) => return,
            Outcome::NotOwner(_) => Reason::NotOwner.as_str(),
            Outcome::Refused(refused) => &refused.reason,
        };
        self.shared.metrics.count_event("home", reason);
        let grant = grant_of(dispatch);
        let id = &dispatch.request_id;
        self.shared.decisions.record(RequestDecision {
            fence: grant.as_ref().map(|(_, fence)| *fence),
            service: Some(dispatch.service.clone()),
            unit: grant.map(|(unit, _)| unit),
            view: Some(self.shared.summarize_view()),
            ..self.shared.decision(Step::RefusedByHome, id, reason)
        });
    }

    /// Waits until the time in the idempotency key has passed, if a clock ahead of this one created the key.
    async fn wait_for_clock(&self, dispatch: &Dispatch) {
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
        let mut body = ByteReservation::new(Arc::clone(&self.body_bytes));
        let max_bytes = usize::try_from(self.shared.limits.home_body_bytes);
        let is_within = body.add_and_check(dispatch.body.len(), max_bytes.unwrap_or(usize::MAX));
        let refusal = self.refusal_reason(&dispatch);
        let mut execution = Execution::new(Arc::clone(self), dispatch, body);
        if !is_within {
            return execution.refuse(Reason::Overloaded);
        }
        if let Some(reason) = refusal {
            return execution.refuse(reason);
        }
        if !outlives_caller {
            return execution.run().await;
        }
        match tokio::spawn(execution.run()).await {
            Ok(outcome) => outcome,
            Err(_) => encode_statement(&self.unknown(&request_id, Reason::UpstreamSilent)),
        }
    }

    /// Returns the reason why a request may not start in view of a graceful stop, of the state of the zone, or of the version
    /// of the upstream, if there is one.
    fn refusal_reason(&self, dispatch: &Dispatch) -> Option<Reason> {
        if !self.may_start(dispatch) {
            return Some(Reason::Stopping);
        }
        let (now, view) = (self.shared.clock.now(), self.shared.view());
        if !view.is_version_open(now) {
            return Some(Reason::Stopping);
        }
        (!view.is_zone_open(now)).then_some(Reason::ZoneOut)
    }

    /// Reports whether a request may start in view of a graceful stop. One without a key can go to another home at once.
    fn may_start(&self, dispatch: &Dispatch) -> bool {
        let now = self.shared.clock.now();
        let deadline = now + Duration::from_millis(dispatch.deadline_ms);
        let has_key = dispatch.key.is_some();
        self.shared.may_start(now, deadline) && (has_key || !self.shared.is_stopping())
    }

    fn begin(&self, dispatch: &Dispatch) -> BeginResult {
        let view = self.shared.view();
        let now = self.shared.clock.now();
        let request = new_request(dispatch);
        let id = &dispatch.request_id;
        let not_run = |reason| {
            BeginResult::Ended(encode_statement(
                &ArrivedRequest::new(id.clone()).refuse(reason, None),
            ))
        };
        let mut state = self.lock();
        state.update_upstream(now, &view, self);
        if let Some(unit) = &request.unit {
            match view.serving.get(unit) {
                Some(fence) if *fence == dispatch.fence => {
                    state.begin_ownership(now, unit, *fence, &self.handovers)
                }
                _ => return BeginResult::Ended(self.not_owner(&view)),
            }
        }
        let has_key = request.idempotency.is_some();
        match state.memory.begin(now, unix_ms(), request) {
            BeginDecision::AlreadyRunning { first } => {
                let (tx, watched) = oneshot::channel();
                state.watchers.entry(first).or_default().push(tx);
                BeginResult::Watch(watched)
            }
            BeginDecision::Answered(answer) => BeginResult::Ended(Outcome::Answer(answer.0)),
            BeginDecision::BadKey => not_run(Reason::BadHeader),
            BeginDecision::Barred => not_run(Reason::DeadlinePassed),
            BeginDecision::Conflict => not_run(Reason::IdempotencyConflict),
            BeginDecision::Full => not_run(Reason::Overloaded),
            BeginDecision::Run => BeginResult::Run,
            BeginDecision::Unknown => {
                let reason = match has_key {
                    true => Reason::IdempotencyUnknown,
                    false => Reason::UpstreamSilent,
                };
                BeginResult::Ended(encode_statement(&self.unknown(id, reason)))
            }
        }
    }

    /// Returns the running request that has made a call, given the address of its sender, its id and its deadline. Returns
    /// `None` if the sender is not on the machine of the accepted upstream, or no running request matches.
    ///
    /// Callers may run on the same machine. Where they need tenant keys, a request without one is a call if its deadline
    /// matches; elsewhere only its id tells.
    pub(crate) fn find_parent(
        &self,
        sender: IpAddr,
        call_id: &str,
        call_deadline: Duration,
    ) -> Option<RunningParent> {
        let view = self.shared.view();
        let upstream = view.upstream.as_ref()?;
        if upstream.address.ip().to_canonical() != sender {
            return None;
        }
        let state = self.lock();
        let running = || state.running.values().map(|running| &running.parent);
        let needs_keys = !view.fleet.plans().plans.is_empty();
        let parent = RunningParent::find_by_id(running(), call_id).or_else(|| {
            let by_deadline = || RunningParent::find_by_deadline(running(), call_deadline);
            needs_keys.then(by_deadline).flatten()
        })?;
        self.has_made_calls.store(true, Ordering::Relaxed);
        Some(parent)
    }

    /// Reports whether a request that ran here has made a call. The routes of requests are not looked up before that.
    pub(crate) fn has_made_calls(&self) -> bool {
        self.has_made_calls.load(Ordering::Relaxed)
    }

    /// Adds a request to the queue. Its channel receives the permit or the refusal.
    pub(crate) fn enqueue(self: &Arc<Self>, mut queued: QueuedRequest<WaitingRequest>) {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        state.apply_answer_reports(now, self.shared.limits.drain());
        let Some(until) = state.wait_until(now, &queued) else {
            state.record_refused(&queued.item);
            let busy = state.rate_limit_delay(now, &queued);
            drop(state);
            refuse_until(queued, Reason::Overloaded, busy);
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
        self.start_requests(&mut state);
        if !state.queue.is_empty() {
            self.queued.notify_one();
        }
    }

    /// Starts waiting requests while the upstream has capacity.
    pub(crate) fn start_requests(self: &Arc<Self>, state: &mut HomeState) {
        RequestStarter::new(self, state).run();
    }

    /// Releases the slot of a permit, and starts waiting requests.
    pub(crate) fn release(self: &Arc<Self>, ticket: Ticket, completion: Completion) {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let cleared = state.record_end(now, ticket, completion);
        self.report_drained(&mut state);
        self.start_requests(&mut state);
        drop(state);
        if let Some(fingerprint) = cleared {
            self.clear_quarantine(fingerprint);
        }
    }

    fn clear_quarantine(&self, fingerprint: String) {
        let control = self.control.clone();
        let body = Body::ClearQuarantine { fingerprint };
        tokio::spawn(async move { control.append(body).await });
    }

    /// Reports drained units to the control thread.
    pub(crate) fn report_drained(&self, state: &mut HomeState) {
        let units = state.take_drained();
        if !units.is_empty() {
            self.control.send_event(Event::Drained { units });
        }
    }

    /// Drains units. The control thread has removed them from the view before, so no more requests start on them.
    pub(crate) fn drain(&self, units: BTreeSet<Unit>) {
        let view = self.shared.view();
        let mut state = self.lock();
        state.units.drain(units);
        for queued in state.take_ungranted(&view) {
            refuse(queued, Reason::NotOwner);
        }
        self.report_drained(&mut state);
    }

    /// Cancels the drain of units.
    pub(crate) fn undrain(&self, units: &BTreeSet<Unit>) {
        self.lock().units.undrain(units);
    }

    /// Ends a measurement interval, and returns the loads of the units `owned`.
    pub(crate) fn update_loads(&self, owned: &BTreeSet<Unit>) -> Loads {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        state.apply_answer_reports(now, self.shared.limits.drain());
        let capacity = state.unit_capacity(now);
        state.units.update_loads(now, owned, capacity)
    }

    /// Returns the remembered requests of a unit, for its next owner.
    pub(crate) fn export(&self, unit: &Unit, fence: Fence) -> HandoverState {
        let now = self.shared.clock.now();
        let memory = self.lock().memory.export(now, unit);
        HandoverState::requests(fence, memory)
    }

    /// Returns the status of a request. A request that is not known is barred from running later.
    pub(crate) fn query_request(&self, query: &StatusQuery) -> RequestStatus {
        let now = self.shared.clock.now();
        let unknown = |reason| {
            RequestStatus::Refused(Refused {
                reason: Reason::as_str(reason).to_owned(),
                not_run: false,
                retry_after_ms: 0,
                load: None,
            })
        };
        let mut state = self.lock();
        match state.memory.query_or_bar(now, &query.request_id) {
            StatusReply::Answered(answer) => RequestStatus::Answer(answer.0),
            StatusReply::Full => unknown(Reason::Overloaded),
            StatusReply::Lost => unknown(Reason::UpstreamSilent),
            StatusReply::Barred => {
                let remembered_for = state.memory.remembered_for().as_millis();
                RequestStatus::Barred(Barred {
                    remembered_for_ms: u64::try_from(remembered_for).unwrap_or(u64::MAX),
                })
            }
            StatusReply::Running => RequestStatus::Running,
        }
    }

    /// Records that the entry has received the answers to requests.
    pub(crate) fn acknowledge(&self, request_ids: &[RequestId]) {
        let mut state = self.lock();
        for request_id in request_ids {
            state.memory.acknowledge(request_id);
        }
    }

    /// Removes a waiting request from the queue. A running request is cancelled with the call that dispatched it.
    pub(crate) fn cancel(&self, request_id: &str) {
        let cancelled = self.lock().queue.remove(request_id);
        drop(cancelled);
    }

    /// Records the outcome of a request.
    pub(crate) fn finish(&self, request_id: &str, outcome: &Outcome) {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        if let Some(costs) = &mut state.costs {
            costs.end(request_id);
        }
        state.record_outcome(now, request_id, outcome);
    }

    /// Returns the kind of a request without a key by which its cost is learned, or `None` unless requests are placed by cost.
    pub(crate) fn cost_key_of(&self, dispatch: &Dispatch) -> Option<CostKey> {
        let is_placed = dispatch.key.is_none() && self.shared.policy.places_by_cost();
        is_placed.then(|| cost_key(&self.shared.view().fleet, dispatch))
    }

    /// Returns what this home states of its work in the reply to a request, if it has learned any cost.
    pub(crate) fn work(&self, kind: &CostKey) -> Option<HomeWork> {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let max_rate = state.cold_rate_per_slot(now);
        state.costs.as_mut()?.state(now, kind, max_rate)
    }

    /// Records how a request that started at `started_at` ended, for the roll-out of its service.
    pub(crate) fn record_evidence(
        &self,
        dispatch: &Dispatch,
        started_at: Duration,
        observation: Observation,
    ) {
        let mut state = self.lock();
        if state.evidence.is_counted(started_at) {
            let view = self.shared.view();
            let route = route_name(dispatch, view.fleet.plans());
            let route = route.unwrap_or_else(|| dispatch.service.clone());
            state.evidence.record(&route, observation);
        }
    }

    /// Reports whether the upstream is cold. Whether it was so earlier is not known, since each check-in states it anew.
    pub(crate) fn is_cold(&self) -> bool {
        let now = self.shared.clock.now();
        self.lock().start_rate.is_cold(now)
    }

    /// Returns the evidence on the upstream for the roll-out at a position, and collects further evidence for it, or none.
    pub(crate) fn collect_evidence(&self, position: Option<Offset>) -> UpstreamEvidence {
        let mut state = self.lock();
        state.evidence.collect_for(position);
        match position {
            Some(_) => state.evidence.evidence().clone(),
            None => UpstreamEvidence::default(),
        }
    }

    /// Returns the accepted upstream.
    pub(crate) fn upstream(&self) -> Option<LocalUpstream> {
        self.lock().upstream.clone()
    }

    /// Returns the number of waiting requests and the number of running ones.
    pub(crate) fn count_requests(&self) -> (usize, u32) {
        let state = self.lock();
        (state.queue.len(), state.limiter.in_flight())
    }

    pub(crate) fn lock_forecast(&self) -> MutexGuard<'_, CallForecast> {
        let forecast = self.call_forecast.lock();
        forecast.unwrap_or_else(PoisonError::into_inner)
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

/// How the home proceeds with a request that has arrived.
enum BeginResult {
    /// The request does not run; this is its outcome.
    Ended(Outcome),
    /// The request runs.
    Run,
    /// The request, or one with the same idempotency key, is already running; the channel receives its outcome.
    Watch(oneshot::Receiver<Outcome>),
}
