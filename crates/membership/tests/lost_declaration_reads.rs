//! Reads of the declarations of operators that a store has lost for all members at once.
//!
//! Load pattern: no read returns, no record is appended, and operators write a declaration. The fleet of agents exchanges
//! heartbeats, and each check is answered. All times are simulated.

mod support;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use membership::Action;
use membership::Agent;
use membership::AgentSettings;
use membership::Announcement;
use membership::Event;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SEED: u64 = 42;

/// Number of declarations, each at another time since the last checks.
const DECLARATIONS: u32 = 4;

/// Time between the end of one measurement and the next declaration. Not a multiple of the times between heartbeats or checks.
const DECLARATION_GAP: Duration = Duration::from_millis(370);

/// Time from the repetition of a read until its response.
const REPEAT_TIME: Duration = Duration::from_millis(260);

/// Number of availability zones.
const ZONES: usize = 3;

/// Time between two ticks of an agent.
const TICK: Duration = Duration::from_millis(50);

/// Time between two reads of the log that return nothing, in milliseconds.
const IDLE_INTERVAL_MS: u128 = 1_000;

/// Time that a datagram takes.
const DATAGRAM_TIME: Duration = Duration::from_millis(3);

/// Time that a call to the store takes.
const CALL_TIME: Duration = Duration::from_millis(10);

/// Time by which all members have joined and have witnesses.
const SETTLED: Duration = Duration::from_secs(8);

/// Time for which checks are counted.
const COUNTED_TIME: Duration = Duration::from_secs(10);

/// Longest time by which a process may find out that its read was lost, so that the declaration is in force 3 s after a store
/// works again.
const BOUND: Duration = Duration::from_millis(2_700);

struct Fleet {
    addresses: BTreeMap<SocketAddr, usize>,
    agents: Vec<Agent>,
    checks: usize,
    events: BTreeMap<(Duration, usize), (usize, Event)>,
    /// Members that receive nothing and send nothing.
    is_lost: Vec<bool>,
    log: Vec<String>,
    position: u64,
    /// Time at which each agent repeats its read after the last declaration.
    repeated: BTreeMap<usize, Duration>,
    scheduled: usize,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(index + 1).unwrap()))
}

impl Fleet {
    fn start(members: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(SEED);
        let agent = |index: usize| {
            Agent::new(AgentSettings {
                evacuation_timeout: Duration::from_secs(5),
                lease: Duration::from_millis(3_500),
                load_tolerance: None,
                log_wait: Duration::from_secs(60),
                peer: address(index),
                places_by_cost: false,
                region: "r".to_owned(),
                retention: None,
                rollouts_enabled: true,
                seed: rng.random(),
                shards_per_member: None,
                stop_timeout: Duration::from_secs(20),
                vm: format!("vm-{index:03}"),
                zone: format!("zone-{}", index % ZONES),
            })
        };
        let mut fleet = Self {
            addresses: (0..members).map(|index| (address(index), index)).collect(),
            agents: (0..members).map(agent).collect(),
            checks: 0,
            events: BTreeMap::new(),
            is_lost: vec![false; members],
            log: Vec::new(),
            position: 7,
            repeated: BTreeMap::new(),
            scheduled: 0,
        };
        for index in 0..members {
            let start = Duration::from_millis(u64::try_from(index % 50).unwrap());
            fleet.schedule(start, index, Event::LogIdle);
            fleet.schedule(start, index, Event::Announced(announcement(index)));
            let position = fleet.position;
            let read = Event::DeclarationsRead {
                duration: CALL_TIME,
                has_waited: false,
                position,
            };
            fleet.schedule(start, index, read);
            fleet.schedule(start, index, Event::Tick);
        }
        fleet
    }

    fn schedule(&mut self, at: Duration, index: usize, event: Event) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), (index, event));
    }

    fn run_until(&mut self, end: Duration) {
        while let Some(entry) = self.events.first_entry() {
            let (now, _) = *entry.key();
            if now >= end {
                return;
            }
            let (index, event) = entry.remove();
            if event == Event::Tick {
                self.schedule(now + TICK, index, Event::Tick);
                let read = self.agents[index].next_log_offset();
                let known = usize::try_from(read).unwrap() - 1;
                if known < self.log.len() {
                    let records = (read..).zip(self.log[known..].iter().cloned());
                    let records = records.collect();
                    let next = self.log.len() as u64 + 1;
                    self.schedule(now, index, Event::Records { next, records });
                } else if now.as_millis() % IDLE_INTERVAL_MS < TICK.as_millis() {
                    self.schedule(now, index, Event::LogIdle);
                }
            }
            if self.is_lost[index] {
                continue;
            }
            for action in self.agents[index].handle(now, event) {
                self.perform(now, index, action);
            }
        }
    }

    fn perform(&mut self, now: Duration, index: usize, action: Action) {
        match action {
            Action::Append(record) => {
                let parts = record.encode(usize::MAX).unwrap().into_iter();
                self.log
                    .extend(parts.map(|part| String::from_utf8(part).unwrap()));
            }
            Action::Probe => {
                self.schedule(now, index, Event::Announced(announcement(index)));
                let sample = Event::ClockSampled {
                    clock_ms: u64::try_from(now.as_millis()).unwrap(),
                    instance: announcement(index).instance,
                };
                self.schedule(now, index, sample);
            }
            Action::CheckDeclarations => {
                self.checks += 1;
                let checked = Event::DeclarationsChecked {
                    duration: CALL_TIME,
                    position: self.position,
                };
                self.schedule(now + CALL_TIME, index, checked);
            }
            Action::RepeatDeclarationReads => {
                self.repeated.entry(index).or_insert(now);
                let read = Event::DeclarationsRead {
                    duration: CALL_TIME,
                    has_waited: false,
                    position: self.position,
                };
                self.schedule(now + REPEAT_TIME, index, read);
            }
            Action::SendHeartbeat { heartbeat, to } => {
                let address = address(index);
                let event = Event::Heartbeat { address, heartbeat };
                self.schedule(now + DATAGRAM_TIME, self.addresses[&to], event);
            }
            Action::SendHeartbeatAnswer { answer, to } => {
                let event = Event::HeartbeatAnswered(answer);
                self.schedule(now + DATAGRAM_TIME, self.addresses[&to], event);
            }
            _ => {}
        }
    }

    /// Returns the checks in a second of all members, in hundredths, and the longest time until the last member finds
    /// out that its read has not returned a new declaration.
    fn measure(&mut self) -> (usize, Duration) {
        let first = self.agents[0].fleet();
        assert_eq!(first.members().len(), self.agents.len());
        let begun = self.checks;
        self.run_until(SETTLED + COUNTED_TIME);
        let seconds = usize::try_from(COUNTED_TIME.as_secs()).unwrap();
        let rate = (self.checks - begun) * 100 / seconds;
        let mut declared_at = SETTLED + COUNTED_TIME;
        let mut longest = Duration::ZERO;
        for _ in 0..DECLARATIONS {
            longest = longest.max(self.time_until_last_repeats(declared_at));
            declared_at += BOUND + DECLARATION_GAP;
        }
        (rate, longest)
    }

    /// Returns the time from a declaration until the last member repeats its read.
    fn time_until_last_repeats(&mut self, declared_at: Duration) -> Duration {
        self.run_until(declared_at);
        self.position += 1;
        self.repeated.clear();
        self.run_until(declared_at + BOUND);
        let live = self.is_lost.iter().filter(|is_lost| !**is_lost).count();
        assert_eq!(self.repeated.len(), live);
        *self.repeated.values().max().unwrap() - declared_at
    }
}

fn announcement(index: usize) -> Announcement {
    Announcement {
        address: address(index),
        checks_grants: true,
        connections: 10,
        instance: format!("instance-{index}"),
        polls_grants: false,
        service: "orders".to_owned(),
        slots: 4,
        started_unix_ms: 0,
        version: String::new(),
    }
}

// Shows what it costs that a process notices a lost read by itself, and how long that takes at most.
#[test]
fn the_last_member_notices_a_lost_read_in_time() {
    let mut report = String::new();
    for (members, lost_zones) in [(1, 0), (6, 0), (25, 0), (25, 1), (90, 1), (195, 0)] {
        let mut fleet = Fleet::start(members);
        fleet.run_until(SETTLED);
        for (index, is_lost) in fleet.is_lost.iter_mut().enumerate() {
            *is_lost = index % ZONES < lost_zones;
        }
        let (rate, last) = fleet.measure();
        assert!(last <= BOUND, "{members} members: {last:?}");
        writeln!(
            report,
            "{members} members, {lost_zones} zones lost: {}.{:02} checks a second, {} ms until the last member repeats its read",
            rate / 100,
            rate % 100,
            last.as_millis()
        )
        .unwrap();
    }
    insta::assert_snapshot!(report);
}
