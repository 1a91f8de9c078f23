//! Simulation of a service that gets reads and calls of running requests.

use std::collections::BTreeMap;
use std::time::Duration;

use policy::PushResult;
use policy::Queue;
use policy::QueuedRequest;
use policy::RankedQueue;
use policy::RankedRequest;
use policy::RequestClass;
use policy::ServiceTimes;
use policy::compute_rank;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const MS: Duration = Duration::from_millis(1);

const SLOTS: u32 = 12;

const QUEUE_REQUESTS: usize = 400;

const READ_TARGET: Duration = Duration::from_millis(400);

const READ_TIME: Duration = Duration::from_millis(120);

const CALL_TARGET: Duration = Duration::from_millis(150);

const CALL_TIME: Duration = Duration::from_millis(48);

/// Time that a parent has left when it makes a call.
const PARENT_LEFT: Duration = Duration::from_millis(1_500);

const RUN_TIME: Duration = Duration::from_secs(30);

/// How the service orders and bounds calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallRule {
    /// By the priority and the target latency of their own routes.
    OwnRoute,
    /// By the priority and the deadline of their parents.
    Parent,
}

pub(crate) struct Scenario {
    /// Part of the load that is calls, in percent.
    pub(crate) call_percent: u64,
    /// Part of the calls whose parents die 20 ms after the call was made, in percent.
    pub(crate) dying_percent: u32,
    /// Work that arrives, in percent of the capacity.
    pub(crate) load_percent: u64,
    /// Priority of the parents' route. Reads have priority 0.
    pub(crate) parent_priority: u32,
    pub(crate) rule: CallRule,
    pub(crate) seed: u64,
}

#[derive(Debug, Default, Eq, PartialEq)]
pub(crate) struct RunResult {
    pub(crate) answered_calls: u32,
    pub(crate) answered_reads: u32,
    /// Number of calls that were cancelled in the queue since their parents had died.
    pub(crate) cancelled_calls: u32,
    pub(crate) refused_calls: u32,
    pub(crate) refused_reads: u32,
    /// Number of calls that started after their parents had died.
    pub(crate) started_for_dead_parents: u32,
}

impl RunResult {
    pub(crate) fn refused_call_percent(&self) -> f64 {
        let calls = self.answered_calls + self.refused_calls;
        f64::from(self.refused_calls) * 100.0 / f64::from(calls)
    }
}

#[derive(Clone, Copy, Debug)]
struct Item {
    is_call: bool,
    parent_dies: Option<Duration>,
}

enum Event {
    ArriveCall,
    ArriveRead,
    End(Item, Duration),
    ParentDies(String),
}

struct Service<'a> {
    events: BTreeMap<(Duration, u64), Event>,
    next_id: u64,
    queue: RankedQueue<Item>,
    result: RunResult,
    rng: SmallRng,
    running: u32,
    scenario: &'a Scenario,
    times: ServiceTimes,
}

/// Simulates 30 s.
pub(crate) fn run(scenario: &Scenario) -> RunResult {
    let mut service = Service {
        events: BTreeMap::new(),
        next_id: 0,
        queue: RankedQueue::new(QUEUE_REQUESTS),
        result: RunResult::default(),
        rng: SmallRng::seed_from_u64(scenario.seed),
        running: 0,
        scenario,
        times: ServiceTimes::default(),
    };
    service.schedule(Duration::ZERO, Event::ArriveCall);
    service.schedule(Duration::ZERO, Event::ArriveRead);
    while let Some(((now, _), event)) = service.events.pop_first() {
        if now >= RUN_TIME {
            break;
        }
        service.handle(now, event);
        for expired in service.queue.take_expired(now) {
            service.record_refused(expired.item);
        }
        service.start_requests(now);
    }
    service.result
}

impl Service<'_> {
    fn schedule(&mut self, time: Duration, event: Event) {
        self.next_id += 1;
        self.events.insert((time, self.next_id), event);
    }

    fn handle(&mut self, now: Duration, event: Event) {
        let calls = self.scenario.call_percent;
        match event {
            Event::ArriveCall => {
                self.schedule_next(now, Event::ArriveCall, calls, CALL_TIME);
                let dies = self.rng.random_range(0..100) < self.scenario.dying_percent;
                self.enqueue_call(now, dies.then_some(now + 20 * MS));
            }
            Event::ArriveRead => {
                self.schedule_next(now, Event::ArriveRead, 100 - calls, READ_TIME);
                self.enqueue_read(now);
            }
            Event::End(item, taken) => self.end(item, taken),
            Event::ParentDies(id) => {
                self.result.cancelled_calls += u32::from(self.queue.remove(&id).is_some());
            }
        }
    }

    /// Schedules the next arrival of requests that are `percent` of the load.
    fn schedule_next(&mut self, now: Duration, event: Event, percent: u64, taken: Duration) {
        let share = self.scenario.load_percent as f64 / 100.0 * percent as f64 / 100.0;
        let mean = taken.as_secs_f64() / f64::from(SLOTS) / share;
        let draw: f64 = self.rng.random();
        let gap = Duration::from_secs_f64(-mean * (1.0 - draw).ln());
        self.schedule(now + gap, event);
    }

    fn enqueue_read(&mut self, now: Duration) {
        let rank = compute_rank(&new_work(0));
        let class = RequestClass::NewWork;
        let ahead = self.count_ahead(rank, class);
        let times = &self.times;
        let until = times.wait_deadline(now, READ_TARGET, READ_TARGET, ahead, SLOTS);
        let item = Item {
            is_call: false,
            parent_dies: None,
        };
        self.enqueue(rank, class, until, item);
    }

    fn enqueue_call(&mut self, now: Duration, parent_dies: Option<Duration>) {
        let deadline = now + PARENT_LEFT;
        let item = Item {
            is_call: true,
            parent_dies,
        };
        let (rank, class, until);
        match self.scenario.rule {
            CallRule::OwnRoute => {
                (rank, class) = (compute_rank(&new_work(1)), RequestClass::NewWork);
                let ahead = self.count_ahead(rank, class);
                let times = &self.times;
                until = times.wait_deadline(now, CALL_TARGET, CALL_TARGET, ahead, SLOTS);
            }
            CallRule::Parent => {
                let parent_rank = compute_rank(&new_work(self.scenario.parent_priority));
                rank = compute_rank(&RankedRequest::Call { parent_rank });
                class = RequestClass::of_call(false);
                let ahead = self.count_ahead(rank, class);
                let times = &self.times;
                until = times.call_wait_deadline(now, CALL_TARGET, deadline, ahead, SLOTS);
            }
        }
        let id = self.enqueue(rank, class, until, item);
        if let Some(time) = parent_dies {
            self.schedule(time, Event::ParentDies(id));
        }
    }

    fn count_ahead(&self, rank: u32, class: RequestClass) -> usize {
        self.queue.count_ahead(rank, class) + usize::from(self.running >= SLOTS)
    }

    /// Adds a request to the queue unless it would start too late, and returns its id.
    fn enqueue(
        &mut self,
        rank: u32,
        class: RequestClass,
        until: Option<Duration>,
        item: Item,
    ) -> String {
        self.next_id += 1;
        let id = self.next_id.to_string();
        let Some(deadline) = until else {
            self.record_refused(item);
            return id;
        };
        let pushed = self.queue.push(QueuedRequest {
            class,
            deadline,
            id: id.clone(),
            item,
            rank,
            weight: 1,
            workspace: String::new(),
        });
        match pushed {
            PushResult::Accepted => {}
            PushResult::Displaced(other) | PushResult::Full(other) => {
                self.record_refused(other.item)
            }
        }
        id
    }

    fn start_requests(&mut self, now: Duration) {
        while self.running < SLOTS {
            let Some(queued) = self.queue.pop(now).next else {
                return;
            };
            let is_dead = queued.item.parent_dies.is_some_and(|dies| dies <= now);
            self.result.started_for_dead_parents += u32::from(is_dead);
            self.running += 1;
            let mean = match queued.item.is_call {
                true => CALL_TIME,
                false => READ_TIME,
            };
            let taken = mean.mul_f64(self.rng.random_range(0.5..1.5));
            self.schedule(now + taken, Event::End(queued.item, taken));
        }
    }

    fn end(&mut self, item: Item, taken: Duration) {
        self.running -= 1;
        let (answered, target) = match item.is_call {
            true => (&mut self.result.answered_calls, CALL_TARGET),
            false => (&mut self.result.answered_reads, READ_TARGET),
        };
        *answered += 1;
        self.times.observe(target, taken);
    }

    fn record_refused(&mut self, item: Item) {
        let refused = match item.is_call {
            true => &mut self.result.refused_calls,
            false => &mut self.result.refused_reads,
        };
        *refused += 1;
    }
}

/// Returns a request on an open route.
fn new_work(route_priority: u32) -> RankedRequest {
    RankedRequest::NewWork {
        is_late: false,
        route_priority,
        workspace: None,
    }
}
