//! Simulation of entries that choose among upstreams, some of which are stragglers that falsely report
//! no load.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use ids::VmId;
use policy::Candidate;
use policy::Chooser;
use policy::Completion;
use policy::HedgePolicy;
use policy::RetryBudget;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SLOTS: usize = 10;
const UPSTREAMS: usize = 5;
const ZONES: [&str; 3] = ["a", "b", "c"];
const ZONE_DELAY: Duration = Duration::from_micros(1_500);
const STRAGGLER_FACTOR: u32 = 10;

pub(crate) type ChooserFactory = fn(&str, u64) -> Box<dyn Chooser>;

pub(crate) struct Scenario {
    pub(crate) chooser: ChooserFactory,
    pub(crate) hedge_percent: f64,
    pub(crate) seed: u64,
    pub(crate) stragglers: usize,
}

#[derive(Debug)]
pub(crate) struct RunResult {
    pub(crate) extra_percent: f64,
    pub(crate) p99: Duration,
    pub(crate) p999: Duration,
}

enum Event {
    Arrive,
    Done(u64, VmId),
    Hedge(u64),
    Report,
}

struct Entry {
    budget: RetryBudget,
    chooser: Box<dyn Chooser>,
    hedges: HedgePolicy,
}

struct Request {
    entry: usize,
    open: BTreeMap<VmId, Duration>,
    start: Duration,
}

struct Simulation {
    slots_free_at: BTreeMap<VmId, Vec<Duration>>,
    entries: Vec<Entry>,
    events: BTreeMap<(Duration, u64), Event>,
    extras: u64,
    latencies: Vec<Duration>,
    next_id: u64,
    requests: BTreeMap<u64, Request>,
    rng: SmallRng,
    slow: BTreeSet<VmId>,
}

/// Simulates 30 s at 40 % of the capacity.
///
/// Stragglers are slow from 10 s on, and only requests from then on are measured.
pub(crate) fn run(scenario: &Scenario) -> RunResult {
    let mut simulation = Simulation::new(scenario);
    simulation.schedule(Duration::ZERO, Event::Arrive);
    simulation.schedule(Duration::ZERO, Event::Report);
    let (slow_at, end) = (Duration::from_secs(10), Duration::from_secs(30));
    let slow = std::mem::take(&mut simulation.slow);
    let mut extras_before = 0;
    while let Some(((now, _), event)) = simulation.events.pop_first() {
        if now >= end {
            break;
        }
        if now >= slow_at && simulation.slow.len() != slow.len() {
            simulation.slow.clone_from(&slow);
        }
        if now < slow_at {
            simulation.latencies.clear();
            extras_before = simulation.extras;
        }
        simulation.handle(now, event);
    }
    let extras = simulation.extras - extras_before;
    simulation.latencies.sort_unstable();
    let count = simulation.latencies.len();
    RunResult {
        extra_percent: extras as f64 * 100.0 / count as f64,
        p99: simulation.latencies[count * 99 / 100],
        p999: simulation.latencies[count * 999 / 1_000],
    }
}

fn zone_of(index: usize) -> &'static str {
    ZONES[index % ZONES.len()]
}

impl Simulation {
    fn new(scenario: &Scenario) -> Self {
        let candidates: Vec<_> = (0..UPSTREAMS)
            .map(|index| Candidate {
                slots: SLOTS as u32,
                vm: format!("vm-{index}"),
                zone: zone_of(index).to_owned(),
            })
            .collect();
        let entries = (0..ZONES.len())
            .map(|index| Entry::new(scenario, index, &candidates))
            .collect();
        let vms = candidates.iter().map(|candidate| candidate.vm.clone());
        Self {
            slots_free_at: vms
                .clone()
                .map(|vm| (vm, vec![Duration::ZERO; SLOTS]))
                .collect(),
            entries,
            events: BTreeMap::new(),
            extras: 0,
            latencies: Vec::new(),
            next_id: 0,
            requests: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(scenario.seed),
            slow: vms.take(scenario.stragglers).collect(),
        }
    }

    fn schedule(&mut self, time: Duration, event: Event) {
        self.next_id += 1;
        self.events.insert((time, self.next_id), event);
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Arrive => self.arrive(now),
            Event::Done(id, vm) => self.done(now, id, &vm),
            Event::Hedge(id) => self.hedge(now, id),
            Event::Report => self.report(now),
        }
    }

    fn arrive(&mut self, now: Duration) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / 1_000.0;
        self.schedule(now + Duration::from_secs_f64(gap), Event::Arrive);
        self.next_id += 1;
        let id = self.next_id;
        let entry = self.rng.random_range(0..self.entries.len());
        let request = Request {
            entry,
            open: BTreeMap::new(),
            start: now,
        };
        self.requests.insert(id, request);
        self.entries[entry].budget.deposit();
        self.dispatch(now, id);
        let delay = self.entries[entry].hedges.delay();
        self.schedule(now + delay, Event::Hedge(id));
    }

    fn dispatch(&mut self, now: Duration, id: u64) {
        let request = self.requests.get_mut(&id).expect("the request is open");
        let entry = &mut self.entries[request.entry];
        let excluded = request.open.keys().cloned().collect();
        let Some(choice) = entry.chooser.choose(now, &excluded) else {
            return;
        };
        let vm = choice.vm;
        entry.chooser.record_start(now, &vm, id);
        request.open.insert(vm.clone(), now);
        let index: usize = vm["vm-".len()..]
            .parse()
            .expect("the name ends in an index");
        let distance = if zone_of(index) == ZONES[request.entry] {
            Duration::ZERO
        } else {
            ZONE_DELAY
        };
        let factor = if self.slow.contains(&vm) {
            STRAGGLER_FACTOR
        } else {
            1
        };
        let service = Duration::from_millis(self.rng.random_range(10..30)) * factor;
        let slots = self
            .slots_free_at
            .get_mut(&vm)
            .expect("the upstream exists");
        let slot = slots.iter_mut().min().expect("an upstream has slots");
        *slot = (now + distance).max(*slot) + service;
        let end = *slot + distance;
        self.schedule(end, Event::Done(id, vm));
    }

    fn hedge(&mut self, now: Duration, id: u64) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if self.entries[request.entry].budget.try_spend() {
            self.extras += 1;
            self.dispatch(now, id);
        }
    }

    fn done(&mut self, now: Duration, id: u64, vm: &VmId) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.latencies.push(now - request.start);
        let entry = &mut self.entries[request.entry];
        for (other, started) in &request.open {
            let latency = now - *started;
            let completion = if other == vm {
                entry.hedges.observe(other, latency);
                Completion::Answered { latency }
            } else {
                Completion::Cancelled
            };
            entry.chooser.record_completion(now, other, id, completion);
        }
    }

    /// Reports the share of busy slots for most upstreams, and always zero for stragglers.
    fn report(&mut self, now: Duration) {
        self.schedule(now + Duration::from_millis(200), Event::Report);
        for (vm, slots) in &self.slots_free_at {
            let busy = slots.iter().filter(|slot| **slot > now).count();
            let is_slow = self.slow.contains(vm);
            let load = if is_slow {
                0.0
            } else {
                busy as f64 / SLOTS as f64
            };
            for entry in &mut self.entries {
                entry.chooser.record_load(now, vm, load);
            }
        }
    }
}

impl Entry {
    fn new(scenario: &Scenario, index: usize, candidates: &[Candidate]) -> Self {
        let mut chooser = (scenario.chooser)(ZONES[index], scenario.seed * 10 + index as u64);
        chooser.set_candidates(Duration::ZERO, candidates);
        let mut hedges = HedgePolicy::default();
        hedges.set_upstreams(candidates.iter().map(|candidate| &candidate.vm));
        Self {
            budget: RetryBudget::new(scenario.hedge_percent),
            chooser,
            hedges,
        }
    }
}
