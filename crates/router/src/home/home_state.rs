//! What the home keeps under its lock.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use ids::Fence;
use ids::Offset;
use ids::RequestId;
use ids::Unit;
use ids::WorkspaceId;
use policy::AdaptiveConcurrencyLimiter;
use policy::ColdRateLimiter;
use policy::Completion;
use policy::ConcurrencyLimiter;
use policy::FairQueue;
use policy::FifoQueue;
use policy::Fingerprint;
use policy::FixedConcurrencyLimiter;
use policy::MemoryBounds;
use policy::Queue;
use policy::QueueBounds;
use policy::QueuedRequest;
use policy::RankedQueue;
use policy::RequestMemory;
use policy::ServiceTimes;
use policy::Suspects;
use policy::Ticket;
use tokio::sync::oneshot;
use wire::Outcome;

use crate::clock::unix_ms;
use crate::home::local_upstream::LocalUpstream;
use crate::home::unit_book::UnitBook;
use crate::home::waiting::Waiting;
use crate::quarantine::suspicion_levels;
use crate::settings::LimitKind;
use crate::settings::Limits;
use crate::settings::PolicySettings;
use crate::settings::QueueKind;
use crate::shared::Shared;
use crate::travel::Arrivals;
use crate::travel::Contents;
use crate::travel::StoredAnswer;
use crate::view::View;

/// Part of the queue that one workspace may fill, one in this many.
const WORKSPACE_QUEUE_DIVISOR: usize = 2;

/// What the home keeps under its lock.
#[derive(Debug)]
pub(crate) struct HomeState {
    pub(crate) book: UnitBook,
    pub(crate) cold: ColdRateLimiter,
    /// The request that starts next, and is held back by what runs.
    pub(crate) held: Option<QueuedRequest<Waiting>>,
    learned: Offset,
    served: Arc<BTreeMap<Unit, Fence>>,
    /// Life of an upstream that is about to stop, and the time from which it gets no more requests.
    pub(crate) leaving: Option<(String, Duration)>,
    pub(crate) limiter: Box<dyn ConcurrencyLimiter + Send>,
    pub(crate) memory: RequestMemory<StoredAnswer>,
    /// Units that the upstream said it does not hold, until its next report.
    pub(crate) not_held: BTreeSet<Unit>,
    pub(crate) queue: Box<dyn Queue<Item = Waiting> + Send>,
    pub(crate) running: BTreeMap<Ticket, Running>,
    /// Times that requests take on the present upstream.
    pub(crate) service_times: ServiceTimes,
    pub(crate) suspects: Suspects,
    pub(crate) upstream: Option<LocalUpstream>,
    pub(crate) watchers: BTreeMap<RequestId, Vec<oneshot::Sender<Outcome>>>,
}

/// A request that the upstream runs.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) key: Option<String>,
    /// Time at which it came to the home.
    pub(crate) arrived: Duration,
    /// Target latency of the route, zero when it has none.
    pub(crate) target_latency: Duration,
    pub(crate) unit: Option<Unit>,
    pub(crate) workspace: WorkspaceId,
}

/// Returns the limit of an upstream that is not known yet.
fn limiter(now: Duration, limits: &Limits, kind: LimitKind) -> Box<dyn ConcurrencyLimiter + Send> {
    match kind {
        LimitKind::Adaptive => Box::new(AdaptiveConcurrencyLimiter::new(now, 1, limits.warm_up())),
        LimitKind::Fixed => Box::new(FixedConcurrencyLimiter::new(1)),
    }
}

fn queue(limits: &Limits, kind: QueueKind) -> Box<dyn Queue<Item = Waiting> + Send> {
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

impl Running {
    /// Returns the unit that the request would belong to if its key was pinned.
    ///
    /// A request that began before its key was pinned runs under the shard of the key.
    fn pinned(&self) -> Option<Unit> {
        let service = match self.unit.as_ref()? {
            Unit::Pinned { service, .. } | Unit::Shard { service, .. } => service.clone(),
            Unit::Bucket { .. } => return None,
        };
        let key = self.key.clone()?;
        Some(Unit::Pinned { service, key })
    }
}

impl HomeState {
    pub(crate) fn new(now: Duration, limits: &Limits, policy: &PolicySettings) -> Self {
        Self {
            book: UnitBook::new(policy.load_memory(), policy.weighs_request_time),
            cold: ColdRateLimiter::default(),
            held: None,
            learned: 0,
            leaving: None,
            served: Arc::default(),
            limiter: limiter(now, limits, policy.limit),
            not_held: BTreeSet::new(),
            memory: RequestMemory::new(MemoryBounds::default(), unix_ms()),
            queue: queue(limits, policy.queue),
            running: BTreeMap::new(),
            service_times: ServiceTimes::default(),
            suspects: Suspects::default(),
            upstream: None,
            watchers: BTreeMap::new(),
        }
    }

    /// Takes in which upstream was accepted. A new one starts cold.
    pub(crate) fn use_upstream(&mut self, now: Duration, view: &View, shared: &Shared) {
        let Some(announcement) = &view.upstream else {
            return;
        };
        let present = self
            .upstream
            .as_ref()
            .map(|upstream| &upstream.announcement.instance);
        if present == Some(&announcement.instance) {
            return;
        }
        self.limiter.restart(now, announcement.slots);
        self.service_times.clear();
        let declared = view.fleet.plans().services.get(&announcement.service);
        let upstream = LocalUpstream::new(Arc::clone(announcement), declared, shared);
        self.upstream = Some(upstream);
        self.learn_cold_start(view);
    }

    /// Takes in what the fleet knows of requests that crash upstreams.
    pub(crate) fn learn(&mut self, view: &View) {
        if self.learned == view.fleet.next_offset() {
            return;
        }
        self.learned = view.fleet.next_offset();
        self.suspects
            .set_fleet_levels(suspicion_levels(&view.fleet, unix_ms()));
        self.learn_cold_start(view);
    }

    /// Takes in how many requests per second the upstream bears while it is cold.
    fn learn_cold_start(&mut self, view: &View) {
        if let Some(upstream) = &self.upstream {
            let service = &upstream.announcement.service;
            let declared = view.fleet.plans().services.get(service);
            let cold_start = declared.and_then(|declared| declared.cold_start);
            self.cold
                .set_rate(cold_start.map_or(0, |cold| cold.requests_per_second));
        }
    }

    /// Takes in which units are served, once for each change, so that ownership begins with service and not with the
    /// first request.
    pub(crate) fn serve(&mut self, now: Duration, view: &View, arrivals: &Arrivals) {
        if Arc::ptr_eq(&self.served, &view.serving) {
            return;
        }
        self.served = Arc::clone(&view.serving);
        for (unit, fence) in view.serving.iter() {
            if !matches!(unit, Unit::Bucket { .. }) {
                self.own(now, unit, *fence, arrivals);
            }
        }
    }

    /// Takes in that the unit is served under `fence`, with what came by the move that brought it.
    pub(crate) fn own(&mut self, now: Duration, unit: &Unit, fence: Fence, arrivals: &Arrivals) {
        if !self.book.is_new(unit, fence) {
            return;
        }
        self.memory.remove_unit(unit);
        match arrivals.take(unit, fence) {
            Some(Contents::Requests(memory)) => self.memory.import(now, unit, memory),
            Some(Contents::Bucket(_)) | None => self.memory.add_unit(unit.clone(), unix_ms()),
        }
    }

    /// Ends a request at the limiter, and writes a log line when that lowers the limit.
    fn release(&mut self, now: Duration, ticket: Ticket, completion: Completion) {
        let before = self.limiter.limit(now);
        self.limiter.release(now, ticket, completion);
        self.note_limit(now, before);
    }

    /// Lets the limiter take in the time.
    pub(crate) fn tick(&mut self, now: Duration) {
        let before = self.limiter.limit(now);
        self.limiter.tick(now);
        self.note_limit(now, before);
    }

    fn note_limit(&self, now: Duration, before: u32) {
        let limit = self.limiter.limit(now);
        if limit < before {
            log::warn!(
                "the upstream seems cold: {limit} requests run at once in place of {before}"
            );
        }
    }

    /// Returns the time until which a request waits for its turn, or nothing if its turn would come too late.
    pub(crate) fn wait_until(
        &self,
        now: Duration,
        queued: &QueuedRequest<Waiting>,
    ) -> Option<Duration> {
        let target = queued.item.target_latency;
        if target.is_zero() {
            return Some(queued.deadline);
        }
        let slots = self.limiter.limit(now);
        let waiting = self.queue.count_ahead(queued.rank) + usize::from(self.held.is_some());
        let is_full = self.limiter.in_flight() >= slots;
        let ahead = waiting + usize::from(is_full);
        if queued.item.is_hedge && ahead > 0 {
            return None;
        }
        let until =
            self.service_times
                .wait_deadline(now, target, queued.item.target_left, ahead, slots)?;
        Some(until.min(queued.deadline))
    }

    /// Tells whether the upstream has said that it stops, so long ago that it gets no more requests.
    pub(crate) fn has_left(&self, now: Duration) -> bool {
        let upstream = self.upstream.as_ref();
        let instance = upstream.map(|upstream| &upstream.announcement.instance);
        let leaving = self.leaving.as_ref();
        leaving.is_some_and(|(life, until)| instance == Some(life) && now >= *until)
    }

    /// Takes out the units that are drained and on which nothing runs.
    pub(crate) fn take_drained(&mut self) -> BTreeSet<Unit> {
        let busy = self.running.values().filter_map(Running::pinned).collect();
        self.book.take_drained(&busy)
    }

    /// Counts the end of a request.
    pub(crate) fn end(
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
            let busy = now.saturating_sub(running.arrived);
            self.book.ended(unit, running.key.as_deref(), busy);
        }
        self.suspects.record_finish(ticket, ran)
    }

    /// Remembers the outcome of a request, and tells those who wait for it.
    pub(crate) fn finish(&mut self, now: Duration, request_id: &str, outcome: &Outcome) {
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
