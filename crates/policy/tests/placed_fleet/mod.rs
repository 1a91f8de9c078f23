//! Simulation of machines that are entries and homes of a service without keys, whose upstreams differ in speed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use policy::Candidate;
use policy::Chooser;
use policy::Completion;
use policy::CostKey;
use policy::HomeCosts;
use policy::HomeWork;
use policy::RequestKind;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub(crate) const MACHINES: usize = 40;
const SLOTS: usize = 4;
const ZONES: [&str; 3] = ["a", "b", "c"];
const SLOWEST: f64 = 0.7;
const FASTEST: f64 = 1.6;
const TARGET_LATENCY: Duration = Duration::from_millis(400);

/// Delay of a message within a zone, and between zones.
const DELAYS: [Duration; 2] = [Duration::from_micros(500), Duration::from_micros(2_000)];

/// Routes with their parts of the requests and their mean costs in milliseconds.
const ROUTES: [(&str, f64, f64); 3] = [
    ("list", 0.5, 10.0),
    ("detail", 0.35, 40.0),
    ("report", 0.15, 160.0),
];

pub(crate) type ChooserFactory = fn(&str, u64) -> Box<dyn Chooser>;

/// Load that a replay puts on the fleet.
pub(crate) struct Load {
    pub(crate) chooser: ChooserFactory,
    /// Factor of the cost of the first route by time.
    pub(crate) cost_factor: fn(Duration) -> f64,
    /// Number of requests by time, relative to those that keep all upstreams busy at usual costs.
    pub(crate) intensity: fn(Duration) -> f64,
    /// Times between which the requests that arrive are measured.
    pub(crate) measured: (Duration, Duration),
    pub(crate) seed: u64,
    /// Whether upstreams state the speeds of their machines.
    pub(crate) states_speed: bool,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Latencies {
    /// Part of the requests that took longer than the target latency, in percent.
    pub(crate) late_percent: f64,
    pub(crate) mean: Duration,
    pub(crate) p99: Duration,
}

impl Latencies {
    pub(crate) fn mean_of(runs: &[Self]) -> Self {
        let count = runs.len() as u32;
        Self {
            late_percent: runs.iter().map(|run| run.late_percent).sum::<f64>() / f64::from(count),
            mean: runs.iter().map(|run| run.mean).sum::<Duration>() / count,
            p99: runs.iter().map(|run| run.p99).sum::<Duration>() / count,
        }
    }
}

#[derive(Clone, Copy)]
enum Event {
    Arrive,
    Deliver(u64),
    End(u64),
    Reply(u64, HomeWork),
}

struct Request {
    arrived_at: Duration,
    cost: Duration,
    entry: usize,
    home: usize,
    kind: RequestKind,
    started_at: Duration,
}

#[derive(Default)]
struct Home {
    costs: HomeCosts,
    queue: VecDeque<u64>,
    running: usize,
    speed: f64,
}

struct Simulation<'a> {
    entries: Vec<Box<dyn Chooser>>,
    events: BTreeMap<(Duration, u64), Event>,
    homes: Vec<Home>,
    latencies: Vec<Duration>,
    load: &'a Load,
    next_id: u64,
    requests: BTreeMap<u64, Request>,
    rng: SmallRng,
}

/// Plays a load until all measured requests have ended, and returns their latencies.
pub(crate) fn play(load: &Load) -> Latencies {
    let mut simulation = Simulation::new(load);
    simulation.schedule(Duration::ZERO, Event::Arrive);
    while let Some(((now, _), event)) = simulation.events.pop_first() {
        simulation.handle(now, event);
    }
    let latencies = &mut simulation.latencies;
    latencies.sort_unstable();
    let count = latencies.len();
    let late = latencies
        .iter()
        .filter(|latency| **latency > TARGET_LATENCY);
    Latencies {
        late_percent: late.count() as f64 * 100.0 / count as f64,
        mean: latencies.iter().sum::<Duration>() / count as u32,
        p99: latencies[count * 99 / 100],
    }
}

fn vm(index: usize) -> String {
    format!("vm-{index:02}")
}

fn zone(index: usize) -> &'static str {
    ZONES[index % ZONES.len()]
}

/// Returns the speed of a machine. Neighbours by index differ.
fn speed(index: usize) -> f64 {
    let place = index * 7 % MACHINES;
    SLOWEST + (FASTEST - SLOWEST) * place as f64 / (MACHINES - 1) as f64
}

fn delay(from: usize, to: usize) -> Duration {
    match from == to {
        true => Duration::ZERO,
        false => DELAYS[usize::from(zone(from) != zone(to))],
    }
}

impl<'a> Simulation<'a> {
    fn new(load: &'a Load) -> Self {
        let candidates: Vec<Candidate> = (0..MACHINES)
            .map(|index| Candidate {
                slots: SLOTS as u32,
                vm: vm(index),
                zone: zone(index).to_owned(),
            })
            .collect();
        let entries = (0..MACHINES).map(|index| {
            let mut chooser = (load.chooser)(zone(index), load.seed * 100 + index as u64);
            chooser.set_candidates(Duration::ZERO, &candidates);
            chooser
        });
        let homes = (0..MACHINES).map(|index| {
            let mut home = Home {
                speed: speed(index),
                ..Home::default()
            };
            let stated = load.states_speed.then_some(home.speed);
            home.costs.set_stated_speed(stated);
            home
        });
        Self {
            entries: entries.collect(),
            events: BTreeMap::new(),
            homes: homes.collect(),
            latencies: Vec::new(),
            load,
            next_id: 0,
            requests: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(load.seed),
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.next_id += 1;
        self.events.insert((at, self.next_id), event);
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Arrive => self.arrive(now),
            Event::Deliver(id) => self.deliver(now, id),
            Event::End(id) => self.end(now, id),
            Event::Reply(id, work) => self.reply(now, id, work),
        }
    }

    /// Returns a random factor of 1 on average, from about 0.3 to 3.
    fn noise(&mut self) -> f64 {
        let sum: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum();
        ((sum - 6.0) * 0.5 - 0.125).exp()
    }

    fn arrive(&mut self, now: Duration) {
        if now >= self.load.measured.1 {
            return;
        }
        let capacity: f64 = (0..MACHINES).map(|index| speed(index) * SLOTS as f64).sum();
        let mean_cost: f64 = ROUTES
            .iter()
            .map(|(_, part, cost)| part * cost / 1_000.0)
            .sum();
        let rate = (self.load.intensity)(now) * capacity / mean_cost;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.schedule(now + Duration::from_secs_f64(gap), Event::Arrive);
        let drawn = self.rng.random::<f64>();
        let route = match drawn {
            drawn if drawn < ROUTES[0].1 => 0,
            drawn if drawn < ROUTES[0].1 + ROUTES[1].1 => 1,
            _ => 2,
        };
        let factor = match route {
            0 => (self.load.cost_factor)(now),
            _ => 1.0,
        };
        let cost = ROUTES[route].2 * factor * self.noise();
        let kind = RequestKind {
            cost_key: CostKey::new(ROUTES[route].0, 100, None),
            target_latency: TARGET_LATENCY,
        };
        let entry = self.rng.random_range(0..MACHINES);
        let chooser = &mut self.entries[entry];
        let choice = chooser.choose_for(now, &BTreeSet::new(), &kind).unwrap();
        self.next_id += 1;
        let id = self.next_id;
        chooser.record_start_of(now, &choice.vm, id, &kind);
        let home: usize = choice.vm["vm-".len()..].parse().unwrap();
        let request = Request {
            arrived_at: now,
            cost: Duration::from_secs_f64(cost / 1_000.0),
            entry,
            home,
            kind,
            started_at: now,
        };
        self.requests.insert(id, request);
        self.schedule(now + delay(entry, home), Event::Deliver(id));
    }

    fn deliver(&mut self, now: Duration, id: u64) {
        let request = &self.requests[&id];
        let home = &mut self.homes[request.home];
        home.costs.add(id.to_string(), &request.kind.cost_key);
        home.queue.push_back(id);
        let index = request.home;
        self.start_requests(now, index);
    }

    fn start_requests(&mut self, now: Duration, index: usize) {
        while self.homes[index].running < SLOTS {
            let home = &mut self.homes[index];
            let Some(id) = home.queue.pop_front() else {
                return;
            };
            home.running += 1;
            home.costs.start(now, &id.to_string());
            let request = self.requests.get_mut(&id).unwrap();
            request.started_at = now;
            let end = now + request.cost.div_f64(home.speed);
            self.schedule(end, Event::End(id));
        }
    }

    fn end(&mut self, now: Duration, id: u64) {
        let request = &self.requests[&id];
        let index = request.home;
        let home = &mut self.homes[index];
        home.running -= 1;
        let key = &request.kind.cost_key;
        let observed = now - request.started_at;
        home.costs.record_answer(now, key, observed);
        home.costs.end(&id.to_string());
        let work = home.costs.state(now, key, None).unwrap();
        let at = now + delay(index, request.entry);
        self.schedule(at, Event::Reply(id, work));
        self.start_requests(now, index);
    }

    fn reply(&mut self, now: Duration, id: u64, work: HomeWork) {
        let request = self.requests.remove(&id).unwrap();
        let latency = now - request.arrived_at;
        let chooser = &mut self.entries[request.entry];
        let vm = vm(request.home);
        chooser.record_work(now, &vm, &request.kind, work);
        chooser.record_completion(now, &vm, id, Completion::Answered { latency });
        let (from, until) = self.load.measured;
        if (from..until).contains(&request.arrived_at) {
            self.latencies.push(latency);
        }
    }
}
