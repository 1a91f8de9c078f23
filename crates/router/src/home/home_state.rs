//! State of the home that its lock protects.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use ids::Fence;
use ids::Offset;
use ids::RequestId;
use ids::Unit;
use ids::WorkspaceId;
use membership::UpstreamProcess;
use policy::AdaptiveConcurrencyLimiter;
use policy::Completion;
use policy::ConcurrencyLimiter;
use policy::FairQueue;
use policy::FifoQueue;
use policy::Fingerprint;
use policy::FixedConcurrencyLimiter;
use policy::HomeCosts;
use policy::MemoryBounds;
use policy::Queue;
use policy::QueueBounds;
use policy::QueuedRequest;
use policy::RankedQueue;
use policy::RequestMemory;
use policy::RunningParent;
use policy::ServiceTimes;
use policy::StartRateLimiter;
use policy::Suspects;
use policy::Ticket;
use telemetry::DecisionDetails;
use tokio::sync::oneshot;
use wire::Outcome;

use crate::clock::unix_ms;
use crate::handover::HandoverContents;
use crate::handover::IncomingHandovers;
use crate::handover::StoredAnswer;
use crate::home::Home;
use crate::home::granted_unit::GrantedUnit;
use crate::home::local_upstream::LocalUpstream;
use crate::home::unit_tracker::UnitTracker;
use crate::home::waiting_request::WaitingRequest;
use crate::quarantine::suspicion_levels;
use crate::rollout::HomeEvidence;
use crate::settings::LimitKind;
use crate::settings::Limits;
use crate::settings::PolicySettings;
use crate::settings::QueueKind;
use crate::view::View;

/// Divisor of the queue's capacity that gives the maximum number of waiting requests of one workspace.
const WORKSPACE_QUEUE_DIVISOR: usize = 2;

/// Time after which the levels of suspicion are computed again although the log holds no new record, in milliseconds.
const LEVELS_INTERVAL_MS: u64 = 1_000;

/// State of the home that its lock protects.
#[derive(Debug)]
pub(crate) struct HomeState {
    pub(crate) units: UnitTracker,
    /// Evidence on the upstream for the roll-out of its service.
    pub(crate) evidence: HomeEvidence,
    pub(crate) start_rate: StartRateLimiter,
    /// The request that starts next, blocked for now by requests that run.
    pub(crate) blocked: Option<QueuedRequest<WaitingRequest>>,
    /// Costs of requests, `None` unless requests are placed by cost.
    pub(crate) costs: Option<HomeCosts>,
    /// Offset of the fleet state that was last applied.
    fleet_version: (Offset, u64),
    serving: Arc<BTreeMap<Unit, Fence>>,
    /// Upstream processes that are about to stop, with the time from which each gets no more requests.
    pub(crate) stopping: BTreeMap<UpstreamProcess, Duration>,
    pub(crate) limiter: Box<dyn ConcurrencyLimiter + Send>,
    pub(crate) memory: RequestMemory<StoredAnswer>,
    /// Units that the upstream reported it does not hold, until its next report.
    pub(crate) not_held: BTreeSet<Unit>,
    pub(crate) queue: Box<dyn Queue<Item = WaitingRequest> + Send>,
    pub(crate) running: BTreeMap<Ticket, RunningRequest>,
    /// Times that requests take on the current upstream.
    pub(crate) service_times: ServiceTimes,
    /// Time at which the levels of suspicion are computed again, in milliseconds since the Unix epoch.
    next_levels_unix_ms: u64,
    pub(crate) suspects: Suspects,
    pub(crate) upstream: Option<LocalUpstream>,
    pub(crate) watchers: BTreeMap<RequestId, Vec<oneshot::Sender<Outcome>>>,
}

/// A request that runs on the upstream.
#[derive(Clone, Debug)]
pub(crate) struct RunningRequest {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) key: Option<String>,
    /// The request as the parent of calls that the upstream makes while it runs the request.
    pub(crate) parent: RunningParent,
    /// Time at which the request arrived at the home.
    pub(crate) arrived_at: Duration,
    /// Target latency of the route, zero when it has none.
    pub(crate) target_latency: Duration,
    pub(crate) unit: Option<GrantedUnit>,
    pub(crate) workspace: WorkspaceId,
}

/// Returns a limiter for an upstream that has not announced its slots yet.
fn new_limiter(
    now: Duration,
    limits: &Limits,
    kind: LimitKind,
) -> Box<dyn ConcurrencyLimiter + Send> {
    match kind {
        LimitKind::Adaptive => Box::new(AdaptiveConcurrencyLimiter::new(now, 1, limits.warm_up())),
        LimitKind::Fixed => Box::new(FixedConcurrencyLimiter::new(1)),
    }
}

fn new_queue(limits: &Limits, kind: QueueKind) -> Box<dyn Queue<Item = WaitingRequest> + Send> {
    let total = usize::try_from(limits.queue_requests).unwrap_or(usize::MAX);
    let bounds = QueueBounds {
        per_workspace: (total / WORKSPACE_QUEUE_DIVISOR).max(1),
        total,
    };
    match kind {
        QueueKind::Fair => Box::new(FairQueue::new(bounds)),
        QueueKind::Fifo => Box::new(FifoQueue::new(total)),
        QueueKind::Ranked => Box::new(RankedQueue::new(total)),
    }
}

impl RunningRequest {
    /// Returns the unit that the request would belong to if its key were pinned.
    ///
    /// A request that started before its key was pinned runs under the shard of the key.
    fn pinned_unit(&self) -> Option<Unit> {
        let service = match self.unit.as_ref()?.unit() {
            Unit::Pinned { service, .. } | Unit::Shard { service, .. } => service.clone(),
            Unit::Bucket { .. } => return None,
        };
        let key = self.key.clone()?;
        Some(Unit::Pinned { service, key })
    }
}

impl HomeState {
    pub(crate) fn new(now: Duration, limits: &Limits, policy: &PolicySettings) -> Self {
        let expects_costs = policy.places_by_cost();
        Self {
            units: UnitTracker::new(
                policy.load_memory(),
                policy.weighs_request_time,
                expects_costs,
            ),
            evidence: HomeEvidence::default(),
            start_rate: StartRateLimiter::default(),
            blocked: None,
            costs: expects_costs.then(HomeCosts::default),
            fleet_version: (0, 0),
            stopping: BTreeMap::new(),
            serving: Arc::default(),
            limiter: new_limiter(now, limits, policy.limit),
            not_held: BTreeSet::new(),
            memory: RequestMemory::new(MemoryBounds::default(), unix_ms()),
            queue: new_queue(limits, policy.queue),
            running: BTreeMap::new(),
            service_times: ServiceTimes::default(),
            next_levels_unix_ms: 0,
            suspects: Suspects::default(),
            upstream: None,
            watchers: BTreeMap::new(),
        }
    }

    /// Switches to the accepted upstream if it is a new process. A new process starts cold.
    pub(crate) fn update_upstream(&mut self, now: Duration, view: &View, home: &Home) {
        let Some(announcement) = &view.upstream else {
            return;
        };
        let current = self.upstream.as_ref();
        if current.is_some_and(|current| current.announcement.is_same_process(announcement)) {
            return;
        }
        let process = announcement.process();
        self.stopping.retain(|stopping, _| *stopping == process);
        self.limiter.restart(now, announcement.slots);
        self.service_times.clear();
        self.evidence.restart();
        if let Some(costs) = &mut self.costs {
            costs.restart();
        }
        let declared = view.fleet.plans().services.get(&announcement.service);
        let upstream = LocalUpstream::new(
            Arc::clone(announcement),
            declared,
            &home.control,
            &home.shared,
        );
        self.upstream = Some(upstream);
        self.update_cold_rate(view);
    }

    /// Applies changes of the fleet state: suspicions of requests that crash upstreams, and the cold rate.
    pub(crate) fn apply_fleet_changes(&mut self, view: &View) {
        // Levels change with time as well as with records.
        let is_due = !view.fleet.quarantine().is_empty() && unix_ms() >= self.next_levels_unix_ms;
        let fleet_version = (view.fleet.next_offset(), view.fleet.revision());
        if self.fleet_version == fleet_version && !is_due {
            return;
        }
        let now_unix_ms = unix_ms();
        self.fleet_version = fleet_version;
        self.next_levels_unix_ms = now_unix_ms.saturating_add(LEVELS_INTERVAL_MS);
        self.suspects
            .set_fleet_levels(suspicion_levels(&view.fleet, now_unix_ms));
        self.update_cold_rate(view);
    }

    /// Updates the number of requests per second that the upstream can serve while it is cold.
    fn update_cold_rate(&mut self, view: &View) {
        if let Some(upstream) = &self.upstream {
            let service = &upstream.announcement.service;
            let declared = view.fleet.plans().services.get(service);
            let cold_start = declared.and_then(|declared| declared.cold_start);
            self.start_rate
                .set_cold_rate(cold_start.map_or(0, |cold| cold.requests_per_second));
        }
    }

    /// Begins the ownership of newly served units, once for each change of the served units, and reports whether they
    /// have changed.
    ///
    /// Ownership thus begins with service and not with the first request.
    pub(crate) fn update_served_units(
        &mut self,
        now: Duration,
        view: &View,
        handovers: &IncomingHandovers,
    ) -> bool {
        if Arc::ptr_eq(&self.serving, &view.serving) {
            return false;
        }
        self.serving = Arc::clone(&view.serving);
        for (unit, fence) in view.serving.iter() {
            if !matches!(unit, Unit::Bucket { .. }) {
                self.begin_ownership(now, unit, *fence, handovers);
            }
        }
        true
    }

    /// Begins the ownership of a unit under `fence`, with the requests that were handed over by the move, if any.
    pub(crate) fn begin_ownership(
        &mut self,
        now: Duration,
        unit: &Unit,
        fence: Fence,
        handovers: &IncomingHandovers,
    ) {
        if !self.units.record_fence(unit, fence) {
            return;
        }
        match handovers.take(unit, fence) {
            Some(HandoverContents::Requests(memory)) => self.memory.import(now, unit, memory),
            Some(HandoverContents::Bucket(_)) | None => {
                self.memory.add_unit(unit.clone(), unix_ms())
            }
        }
    }

    /// Releases the slot of a request, and logs a warning if that lowers the limit.
    fn release(&mut self, now: Duration, ticket: Ticket, completion: Completion) {
        let before = self.limiter.limit(now);
        self.limiter.release(now, ticket, completion);
        self.log_lowered_limit(now, before);
    }

    /// Advances the limiter to `now`.
    pub(crate) fn tick(&mut self, now: Duration) {
        let before = self.limiter.limit(now);
        self.limiter.tick(now);
        self.log_lowered_limit(now, before);
    }

    fn log_lowered_limit(&self, now: Duration, before: u32) {
        let limit = self.limiter.limit(now);
        if limit < before {
            log::warn!(
                "the upstream seems cold: lowered the concurrency limit from {before} to {limit}"
            );
        }
    }

    /// Returns the details of a decision that describe the load of the upstream.
    pub(crate) fn upstream_load(&self, now: Duration) -> DecisionDetails {
        DecisionDetails {
            cold: Some(self.start_rate.is_cold(now)),
            limit: Some(self.limiter.limit(now)),
            running: Some(self.limiter.in_flight()),
            upstream_rate: self.start_rate.stated_rate(),
            ..DecisionDetails::default()
        }
    }

    /// Removes and returns the waiting requests whose key this process no longer serves.
    pub(crate) fn take_ungranted(&mut self, view: &View) -> Vec<QueuedRequest<WaitingRequest>> {
        self.queue
            .take_matching(&|queued| GrantedUnit::verify(view, &queued.item).is_err())
    }

    /// Removes and returns the draining units on which nothing runs.
    pub(crate) fn take_drained(&mut self) -> BTreeSet<Unit> {
        let busy = self
            .running
            .values()
            .filter_map(RunningRequest::pinned_unit)
            .collect();
        self.units.take_drained(&busy)
    }

    /// Records the end of a request. Returns its fingerprint if it was a suspect and is thereby cleared.
    pub(crate) fn record_end(
        &mut self,
        now: Duration,
        ticket: Ticket,
        completion: Completion,
    ) -> Option<Fingerprint> {
        self.release(now, ticket, completion);
        let ran = matches!(completion, Completion::Answered { .. });
        let running = self.running.remove(&ticket)?;
        if let Completion::Answered { latency } = completion {
            self.service_times.observe(running.target_latency, latency);
        }
        if let Some(unit) = &running.unit {
            let busy = now.saturating_sub(running.arrived_at);
            self.units
                .record_end(unit.unit(), running.key.as_deref(), busy);
        }
        self.suspects.record_finish(ticket, ran)
    }

    /// Records the outcome of a request, and sends it to all watchers.
    pub(crate) fn record_outcome(&mut self, now: Duration, request_id: &str, outcome: &Outcome) {
        match outcome {
            Outcome::Answer(answer) => {
                let stored = StoredAnswer(answer.clone());
                self.memory
                    .record_answer(now, request_id, stored, answer.body.len());
            }
            Outcome::Refused(refused) if !refused.not_run => {
                self.memory.record_lost(now, request_id);
            }
            Outcome::NotOwner(_) | Outcome::Refused(_) => {
                self.memory.record_not_run(request_id);
            }
        }
        for watcher in self.watchers.remove(request_id).unwrap_or_default() {
            let _ = watcher.send(outcome.clone());
        }
    }
}
