//! An upstream that polls its grants by check-ins, at the only member of the fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cluster::Body;
use cluster::Document;
use cluster::LEASE;
use cluster::Record;
use cluster::UnitFence;
use config::Manifest;
use config::Plans;
use config::Service;
use config::Workspaces;
use membership::Action;
use membership::Agent;
use membership::AgentSettings;
use membership::Announcement;
use membership::CheckIn;
use membership::CheckInAnswer;
use membership::Event;
use membership::OperatorDeclarations;

const SHARDS: u32 = 8;

/// A process whose appends are written immediately.
struct Process {
    agent: Agent,
    answers: Vec<CheckInAnswer>,
    now: Duration,
    offset: u64,
}

impl Process {
    fn new() -> Self {
        let peer: SocketAddr = "10.0.0.1:7000".parse().unwrap();
        let agent = Agent::new(AgentSettings {
            lease: LEASE,
            load_tolerance: None,
            log_wait: Duration::from_secs(10),
            peer,
            region: "r".to_owned(),
            retention: None,
            seed: 7,
            stop_timeout: Duration::from_secs(20),
            vm: "vm-1".to_owned(),
            zone: "z".to_owned(),
        });
        let mut process = Self {
            agent,
            answers: Vec::new(),
            now: Duration::from_secs(5),
            offset: 1,
        };
        process.handle(Event::LogIdle);
        process.handle(Event::Declared(OperatorDeclarations {
            manifest: Some(Box::new(manifest())),
            ..OperatorDeclarations::default()
        }));
        process
    }

    fn handle(&mut self, event: Event) {
        let mut actions = self.agent.handle(self.now, event);
        while !actions.is_empty() {
            let mut appended = Vec::new();
            for action in actions {
                match action {
                    Action::AnswerCheckIn(answer) => self.answers.push(answer),
                    Action::Append(record) => appended.push(record),
                    _ => {}
                }
            }
            if appended.is_empty() {
                return;
            }
            let event = self.append(&appended);
            actions = self.agent.handle(self.now, event);
        }
    }

    fn append(&mut self, records: &[Record]) -> Event {
        let texts = records.iter().map(|record| {
            let text = serde_json::to_string(record).unwrap();
            let offset = self.offset;
            self.offset += 1;
            (offset, text)
        });
        let records = texts.collect();
        Event::Records {
            next: self.offset,
            records,
        }
    }

    /// Advances the time by 900 ms, and checks in.
    fn check_in(&mut self, instance: u64, sequence: u64, held: Vec<UnitFence>) -> CheckInAnswer {
        self.now += Duration::from_millis(900);
        self.handle(Event::LogIdle);
        self.handle(Event::Tick);
        self.handle(Event::CheckedIn(CheckIn {
            announcement: Announcement {
                address: "10.0.0.1:9000".parse().unwrap(),
                checks_grants: true,
                connections: 10,
                instance: format!("instance-{instance}"),
                polls_grants: true,
                service: "orders".to_owned(),
                slots: 9,
                started_unix_ms: instance,
            },
            draining: false,
            handovers: BTreeMap::new(),
            held,
            id: sequence,
            sequence,
        }));
        self.handle(Event::Tick);
        self.answers.pop().expect("every check-in is answered")
    }

    /// Checks in until all shards are granted, and returns them.
    fn check_in_until_granted(&mut self, instance: u64, first: u64) -> Vec<UnitFence> {
        for sequence in first..first + 4 {
            let answer = self.check_in(instance, sequence, Vec::new());
            if answer.granted.len() == SHARDS as usize {
                return answer.granted;
            }
        }
        panic!("the shards are not granted");
    }
}

fn manifest() -> Manifest {
    let service = Service {
        numeric_keys: Some(64),
        shards: SHARDS,
        ..Service::default()
    };
    Manifest {
        plans: Plans {
            hosts: [("app.example".to_owned(), Vec::new())].into(),
            services: [("orders".to_owned(), service)].into(),
            ..Plans::default()
        },
        revision: 1,
        workspaces: Workspaces::default(),
    }
}

#[test]
fn a_check_in_is_answered_with_grants_that_end_before_the_lease() {
    let mut process = Process::new();
    let first = process.check_in(1, 1, Vec::new());
    assert_eq!((first.granted.len(), first.hold), (0, None));
    let granted = process.check_in_until_granted(1, 2);
    let answer = process.check_in(1, 9, granted.clone());
    assert_eq!(answer.granted, granted);
    let lease_left = process.agent.lease_until().unwrap() - process.now;
    let slow_clock = answer.hold.unwrap().mul_f64(1.02);
    assert!(slow_clock < lease_left, "{:?} {lease_left:?}", answer.hold);
    assert_eq!(process.agent.serving_units().len(), SHARDS as usize);
}

#[test]
fn late_check_ins_are_ignored() {
    let mut process = Process::new();
    let granted = process.check_in_until_granted(5, 1);
    let serving = process.agent.serving_units().clone();
    for (instance, sequence) in [(5, 1), (4, 100)] {
        let answer = process.check_in(instance, sequence, Vec::new());
        assert_eq!((answer.granted.len(), answer.hold), (0, None));
        assert_eq!(*process.agent.serving_units(), serving);
    }
    assert_eq!(process.check_in(5, 50, granted.clone()).granted, granted);
}

#[test]
fn a_restarted_upstream_gets_higher_fences() {
    let mut process = Process::new();
    let before = process.check_in_until_granted(1, 1);
    let answer = process.check_in(2, 1, Vec::new());
    assert_eq!((answer.granted.len(), answer.hold), (0, None));
    let after = process.check_in_until_granted(2, 2);
    for (earlier, later) in before.iter().zip(&after) {
        assert_eq!(earlier.unit, later.unit);
        assert!(earlier.fence < later.fence);
    }
}

#[test]
fn without_a_lease_no_grant_is_renewed_and_no_unit_is_served() {
    let mut process = Process::new();
    let granted = process.check_in_until_granted(1, 1);
    let join = |index: usize| {
        let text = format!(
            r#"{{"body":{{"type":"join","connections":9,"peer":"10.0.1.{index}:7000","region":"r",
            "service":"workshop","slots":9,"vm":"other-{index}","zone":"y-{index}"}},"id":"j-{index}","writer":"w"}}"#
        );
        serde_json::from_str::<Record>(&text).unwrap()
    };
    let event = process.append(&[join(1), join(2)]);
    process.handle(event);
    // The member has witnesses now, and none of them answers.
    process.now += LEASE;
    let answer = process.check_in(1, 20, granted);
    assert_eq!((answer.granted.len(), answer.hold), (0, None));
    assert!(process.agent.serving_units().is_empty());
}

#[test]
fn a_manifest_is_published_once() {
    let mut process = Process::new();
    process.check_in_until_granted(1, 1);
    assert_eq!(process.agent.fleet().revision(), 1);
    let next = process.offset;
    process.handle(Event::Declared(OperatorDeclarations {
        manifest: Some(Box::new(manifest())),
        ..OperatorDeclarations::default()
    }));
    process.check_in(1, 30, Vec::new());
    assert_eq!(process.offset, next);
    let repeated = Body::Publish {
        base: 0,
        document: Document::Manifest(Box::new(manifest())),
    };
    let record = Record {
        body: repeated,
        id: "again".to_owned(),
        writer: "other".to_owned(),
    };
    let event = process.append(&[record]);
    process.handle(event);
    assert_eq!(process.agent.fleet().revision(), 1);
}
