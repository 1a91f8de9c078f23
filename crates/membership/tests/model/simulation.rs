//! A simulation of several agents with an in-memory log, a network and upstreams. Times are in
//! microseconds.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use cluster::Body;
use cluster::Document;
use cluster::Record;
use config::Plans;
use ids::Offset;
use ids::Unit;
use ids::first_offset;
use ids::generation_of;
use membership::Action;
use membership::Decision;
use membership::Event;
use membership::Grant;
use membership::HeartbeatAnswer;
use membership::TraceLine;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::broken_rule::BrokenRule;
use crate::fake_upstream::FakeUpstream;
use crate::node::Node;
use crate::simulated_log::SimulatedLog;

pub(crate) const MS: u64 = 1_000;
pub(crate) const SECOND: u64 = 1_000 * MS;

/// Probability of a pause after an agent returns actions and before they are performed, multiplied by
/// `late_probability`.
const PAUSE_PROBABILITY: f64 = 0.003;
pub(crate) const SHARDS: u32 = 8;

/// Writer of the records that operators append.
const OPERATOR: &str = "operator";

pub(crate) enum Input {
    Announce,
    Append(Record),
    Home(Event),
    Idle(BTreeSet<Unit>),
    Probe,
    Read,
    Restart,
    Tick,
    Upstream(Grant),
}

pub(crate) struct Simulation {
    pub(crate) at: u64,
    pub(crate) cuts: BTreeSet<(usize, usize)>,
    /// Decisions with their times in milliseconds and the indices of the nodes that made them.
    pub(crate) decisions: Vec<(u64, usize, Decision)>,
    /// Oldest offset that the log retains.
    pub(crate) first_offset: Offset,
    pub(crate) is_log_down: bool,
    /// Answers of witnesses that are delayed until the next heartbeat, if a broken rule requires it.
    delayed_answers: BTreeMap<(usize, SocketAddr), HeartbeatAnswer>,
    pub(crate) late_probability: f64,
    pub(crate) loss_probability: f64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) rng: StdRng,
    pub(crate) log: SimulatedLog,
    /// Scheduled inputs by due time and sequence number, with the index and process of their node.
    queue: BTreeMap<(u64, u64), (usize, u64, Input)>,
    sequence: u64,
    broken_rule: BrokenRule,
}

impl Simulation {
    pub(crate) fn new(seed: u64, size: usize, broken_rule: BrokenRule) -> Self {
        let mut sim = Self {
            at: 0,
            cuts: BTreeSet::new(),
            decisions: Vec::new(),
            first_offset: 1,
            is_log_down: false,
            delayed_answers: BTreeMap::new(),
            late_probability: 0.0,
            loss_probability: 0.0,
            nodes: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            log: SimulatedLog::new(first_record()),
            queue: BTreeMap::new(),
            sequence: 0,
            broken_rule,
        };
        for index in 0..size {
            let rates = [0, 1].map(|_| sim.rng.random_range(0.995..1.005));
            let upstream = FakeUpstream::new(0, rates[0], format!("{index}/0"));
            sim.nodes.push(Node::new(index, rates[1], upstream));
            let after = sim.rng.random_range(0..SECOND);
            sim.schedule(after, index, Input::Announce);
            sim.start(index);
        }
        sim
    }

    fn start(&mut self, index: usize) {
        self.schedule(0, index, Input::Read);
        self.schedule(0, index, Input::Tick);
    }

    pub(crate) fn schedule(&mut self, after: u64, index: usize, input: Input) {
        self.sequence += 1;
        let process = self.nodes[index].process;
        let due = (self.at + after, self.sequence);
        self.queue.insert(due, (index, process, input));
    }

    /// Handles the next input, and returns the index of its node.
    pub(crate) fn step(&mut self) -> usize {
        let ((at, _), (index, process, input)) =
            self.queue.pop_first().expect("upstreams announce");
        self.at = at;
        let node = &self.nodes[index];
        let is_for_upstream = matches!(input, Input::Announce | Input::Probe | Input::Upstream(_));
        let is_for_home = matches!(input, Input::Home(_) | Input::Read | Input::Tick);
        let is_dropped = is_for_home && (!node.is_up || node.process != process);
        if is_for_upstream && node.upstream.paused_until > at {
            self.schedule(node.upstream.paused_until - at, index, input);
        } else if is_for_home && !is_dropped && node.paused_until > at {
            let after_messages = u64::from(matches!(input, Input::Tick));
            self.schedule(node.paused_until - at + after_messages, index, input);
        } else if !is_dropped {
            self.deliver(index, input);
        }
        index
    }

    fn deliver(&mut self, index: usize, input: Input) {
        match input {
            Input::Announce => {
                let event = Event::Announced(self.nodes[index].announcement());
                self.schedule(MS, index, Input::Home(event));
                self.schedule(SECOND, index, Input::Announce);
            }
            Input::Append(record) => self.append(index, &record),
            Input::Home(Event::HeartbeatAnswered(answer))
                if self.broken_rule == BrokenRule::LeaseCountsFromAnswer =>
            {
                self.delay_answer(index, answer);
            }
            Input::Home(event) => self.handle(index, event),
            Input::Idle(units) => {
                self.nodes[index].busy.retain(|unit| !units.contains(unit));
            }
            Input::Probe => {
                let upstream = &self.nodes[index].upstream;
                let event = Event::ClockSampled {
                    clock_ms: upstream.clock_ms(self.at),
                    instance: upstream.instance.clone(),
                };
                self.answer(index, event);
            }
            Input::Read => self.read(index),
            Input::Restart => {
                self.nodes[index].restart(self.at, index);
                self.start(index);
            }
            Input::Tick => {
                self.handle(index, Event::Tick);
                self.schedule(100 * MS, index, Input::Tick);
            }
            Input::Upstream(grant) => {
                let sequence = grant.sequence;
                let answer = self.nodes[index].upstream.apply_grant(self.at, grant);
                let failed = Event::GrantFailed { sequence };
                self.answer(index, answer.map_or(failed, Event::GrantAnswered));
            }
        }
    }

    fn answer(&mut self, index: usize, event: Event) {
        let delay = self.rng.random_range(0..3 * MS);
        if !self.rng.random_bool(self.loss_probability / 4.0) {
            self.schedule(delay, index, Input::Home(event));
        }
    }

    fn append(&mut self, index: usize, record: &Record) {
        if self.is_log_down {
            return;
        }
        let generation = match record.writer == OPERATOR {
            true => self.log.current(),
            false => generation_of(self.nodes[index].agent.next_log_offset()),
        };
        let mut record = record.clone();
        self.log.append(generation, text(&record));
        if let Body::Rewitness { base, .. } = &mut record.body
            && self.broken_rule == BrokenRule::NoJointMajority
        {
            *base = self.log.next_offset(generation) - 1;
            record.id.push_str("-release");
            self.log.append(generation, text(&record));
        }
    }

    fn pull(&mut self, index: usize, address: SocketAddr, from: Offset) {
        let peer = self.position(address);
        let node = &self.nodes[peer];
        let can_answer = node.is_up && node.agent.can_answer_pulls(node.now(self.at));
        let is_cut = self.cuts.contains(&(index, peer)) || self.cuts.contains(&(peer, index));
        if !can_answer || is_cut || node.paused_until > self.at {
            return;
        }
        let event = Event::PeerRecords {
            next: node.agent.fleet().next_offset(),
            peer: node.vm.clone(),
            records: node.records_for_peer(from),
        };
        self.schedule(3 * MS, index, Input::Home(event));
    }

    fn position(&self, address: SocketAddr) -> usize {
        let mut nodes = self.nodes.iter();
        let position = nodes.position(|node| node.address == address);
        position.expect("addresses come from the log")
    }

    /// Schedules the append of a record by an operator.
    pub(crate) fn append_as_operator(&mut self, body: Body) {
        let record = Record {
            id: format!("operator-{}", self.sequence),
            body,
            writer: OPERATOR.to_owned(),
        };
        self.schedule(50 * MS, 0, Input::Append(record));
    }

    fn read(&mut self, index: usize) {
        let delay = self.rng.random_range(MS..30 * MS);
        let node = &self.nodes[index];
        let from = node.agent.next_log_offset();
        let event = if self.is_log_down || node.is_cut_from_log {
            Event::LogFailed
        } else if self.nodes[index].agent.next_log_offset() < self.first_offset {
            Event::RecordsExpired {
                first: self.first_offset,
            }
        } else {
            self.read_records(from)
        };
        self.schedule(delay, index, Input::Home(event));
        self.schedule(delay + 40 * MS, index, Input::Read);
    }

    /// Returns the records from an offset on, or the restore of the log at the end of a generation that was followed by
    /// another.
    fn read_records(&self, from: Offset) -> Event {
        let records = self.log.read(from);
        let (read, current) = (generation_of(from), self.log.current());
        if read == current {
            let next = self.log.next_offset(read);
            Event::Records { next, records }
        } else if records.is_empty() {
            let generation = self.log.generation_after(from);
            Event::LogRestored { generation }
        } else {
            let next = first_offset(current);
            Event::Records { next, records }
        }
    }

    fn handle(&mut self, index: usize, event: Event) {
        self.nodes[index].store_records(&event);
        let now = self.nodes[index].now(self.at);
        if let Some(trace) = &mut self.nodes[index].trace {
            let event = event.clone();
            trace.lines.push(TraceLine { at: now, event });
        }
        let actions = self.nodes[index].agent.handle(now, event);
        if self
            .rng
            .random_bool(self.late_probability * PAUSE_PROBABILITY)
        {
            let pause = self.rng.random_range(0..3 * SECOND);
            self.nodes[index].paused_until = self.at + pause;
        }
        if self.broken_rule == BrokenRule::NoTakeoverWait {
            self.nodes[index].skipped += longest_wait(&actions);
        }
        let send_delay = self.nodes[index].paused_until.saturating_sub(self.at);
        for action in actions {
            self.perform(index, send_delay, action);
        }
    }

    fn perform(&mut self, index: usize, send_delay: u64, action: Action) {
        match action {
            Action::Append(record) => {
                let delay = self.delay(30 * MS, SECOND);
                if !self.nodes[index].is_cut_from_log {
                    self.schedule(send_delay + delay, index, Input::Append(record));
                }
            }
            Action::LogDecision(decision) => self.decisions.push((self.at / MS, index, decision)),
            Action::Drain { units } => {
                let delay = send_delay + self.rng.random_range(0..200 * MS);
                let skips_drain = self.broken_rule == BrokenRule::NoDrain;
                let reported = if skips_drain { send_delay } else { delay };
                self.nodes[index].busy.extend(units.iter().cloned());
                self.schedule(delay, index, Input::Idle(units.clone()));
                self.schedule(reported, index, Input::Home(Event::Drained { units }));
            }
            Action::Grant(mut grant) => {
                if self.broken_rule == BrokenRule::GrantsOutliveLease {
                    grant.expiry_ms += 2_000;
                }
                let delay = self.delay(3 * MS, 500 * MS);
                self.schedule(send_delay + delay, index, Input::Upstream(grant));
            }
            Action::Pull { address, from, .. } => self.pull(index, address, from),
            Action::Probe => self.schedule(send_delay + MS, index, Input::Probe),
            Action::SendHeartbeat { heartbeat, to } => {
                self.deliver_delayed_answer(index, to, heartbeat.sequence);
                let address = self.nodes[index].address;
                self.send(
                    index,
                    send_delay,
                    to,
                    Event::Heartbeat { address, heartbeat },
                );
            }
            Action::SendHeartbeatAnswer { mut answer, to } => {
                if self.broken_rule == BrokenRule::RenewsSuspected {
                    answer.contact = true;
                    answer.renewal = true;
                }
                self.send(index, send_delay, to, Event::HeartbeatAnswered(answer));
            }
            Action::Stopped => {
                self.nodes[index].kill();
                self.schedule(500 * MS, index, Input::Restart);
            }
            _ => {}
        }
    }

    /// Delivers the answer that was delayed until this heartbeat, as if it answered this heartbeat.
    fn deliver_delayed_answer(&mut self, index: usize, witness: SocketAddr, sequence: u64) {
        if let Some(mut answer) = self.delayed_answers.remove(&(index, witness)) {
            answer.sequence = sequence;
            self.handle(index, Event::HeartbeatAnswered(answer));
        }
    }

    fn delay_answer(&mut self, index: usize, answer: HeartbeatAnswer) {
        let witness = self.nodes.iter().find(|node| node.vm == answer.witness);
        let address = witness.expect("witnesses are nodes").address;
        self.delayed_answers.insert((index, address), answer);
    }

    fn delay(&mut self, usual: u64, late: u64) -> u64 {
        let is_late = self.rng.random_bool(self.late_probability / 4.0);
        self.rng.random_range(0..usual) + if is_late { late } else { 0 }
    }

    fn send(&mut self, from: usize, send_delay: u64, to: SocketAddr, event: Event) {
        let target = self.position(to);
        let is_late = self.rng.random_bool(self.late_probability);
        let longest = if is_late { 3 * SECOND } else { 3 * MS };
        let delay = self.rng.random_range(0..longest);
        if !self.cuts.contains(&(from, target)) && !self.rng.random_bool(self.loss_probability) {
            self.schedule(send_delay + delay, target, Input::Home(event));
        }
    }

    /// Handles all inputs that are due before `until`.
    pub(crate) fn run_until(&mut self, until: u64) {
        while self.at < until {
            self.step();
        }
    }

    /// Reports whether a request could run on the unit at the current time.
    pub(crate) fn owns(&self, node: &Node, unit: &Unit) -> bool {
        node.serves(self.at, unit) || node.upstream.accepts(self.at, unit)
    }
}

fn longest_wait(actions: &[Action]) -> Duration {
    let waits = actions.iter().filter_map(|action| match action {
        Action::LogDecision(Decision::Acquired { wait_ms, .. }) => Some(*wait_ms),
        _ => None,
    });
    Duration::from_millis(waits.max().unwrap_or_default())
}

fn text(record: &Record) -> String {
    serde_json::to_string(record).expect("a record is JSON")
}

/// Returns the record body by which operators declare the service.
pub(crate) fn plans() -> Body {
    let declared = format!(
        r#"{{"plans": {{}}, "services": {{"ordering": {{"routes": [{{"idempotent": true, "methods": ["GET"], "prefix": "/"}}], "shards": {SHARDS}}}}}}}"#
    );
    let plans: Plans = serde_json::from_str(&declared).expect("the plans are valid");
    Body::Publish {
        base: 0,
        document: Document::Plans(plans),
    }
}

fn first_record() -> String {
    text(&Record {
        body: plans(),
        id: "plans".to_owned(),
        writer: OPERATOR.to_owned(),
    })
}
