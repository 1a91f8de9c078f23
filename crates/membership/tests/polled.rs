//! An upstream that polls its grants by check-ins, at a member that holds alone.

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

/// A process whose appends are written at once.
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
            let mut written = Vec::new();
            for action in actions {
                match action {
                    Action::AnswerCheckIn(answer) => self.answers.push(answer),
                    Action::Append(record) => written.push(record),
                    _ => {}
                }
            }
            if written.is_empty() {
                return;
            }
            let event = self.written(&written);
            actions = self.agent.handle(self.now, event);
        }
    }

    fn written(&mut self, records: &[Record]) -> Event {
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

    /// Lets time go on, and checks in.
    fn check_in(&mut self, life: u64, sequence: u64, held: Vec<UnitFence>) -> CheckInAnswer {
        self.now += Duration::from_millis(900);
        self.handle(Event::LogIdle);
        self.handle(Event::Tick);
        self.handle(Event::CheckedIn(CheckIn {
            announcement: Announcement {
                address: "10.0.0.1:9000".parse().unwrap(),
                checks_orders: true,
                connections: 10,
                instance: format!("life-{life}"),
                polls_grants: true,
                service: "orders".to_owned(),
                slots: 9,
            },
            started_unix_ms: life,
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
    fn granted(&mut self, life: u64, first: u64) -> Vec<UnitFence> {
        for sequence in first..first + 4 {
            let answer = self.check_in(life, sequence, Vec::new());
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
fn grants_are_the_answer_to_a_check_in_and_end_before_the_lease() {
    let mut process = Process::new();
    let first = process.check_in(1, 1, Vec::new());
    assert_eq!((first.granted.len(), first.hold), (0, None));
    let granted = process.granted(1, 2);
    let answer = process.check_in(1, 9, granted.clone());
    assert_eq!(answer.granted, granted);
    let lease_left = process.agent.lease_until().unwrap() - process.now;
    let slow_clock = answer.hold.unwrap().mul_f64(1.02);
    assert!(slow_clock < lease_left, "{:?} {lease_left:?}", answer.hold);
    assert_eq!(process.agent.serving_units().len(), SHARDS as usize);
}

#[test]
fn check_ins_that_are_late_change_nothing() {
    let mut process = Process::new();
    let granted = process.granted(5, 1);
    let serving = process.agent.serving_units().clone();
    for (life, sequence) in [(5, 1), (4, 100)] {
        let answer = process.check_in(life, sequence, Vec::new());
        assert_eq!((answer.granted.len(), answer.hold), (0, None));
        assert_eq!(*process.agent.serving_units(), serving);
    }
    assert_eq!(process.check_in(5, 50, granted.clone()).granted, granted);
}

#[test]
fn a_new_life_of_the_upstream_gets_higher_fences() {
    let mut process = Process::new();
    let before = process.granted(1, 1);
    let answer = process.check_in(2, 1, Vec::new());
    assert_eq!((answer.granted.len(), answer.hold), (0, None));
    let after = process.granted(2, 2);
    for (earlier, later) in before.iter().zip(&after) {
        assert_eq!(earlier.unit, later.unit);
        assert!(earlier.fence < later.fence);
    }
}

#[test]
fn nothing_is_renewed_without_a_lease_and_nothing_served() {
    let mut process = Process::new();
    let granted = process.granted(1, 1);
    let join = |index: usize| {
        let text = format!(
            r#"{{"body":{{"type":"join","connections":9,"peer":"10.0.1.{index}:7000","region":"r",
            "service":"workshop","slots":9,"vm":"other-{index}","zone":"y-{index}"}},"id":"j-{index}","writer":"w"}}"#
        );
        serde_json::from_str::<Record>(&text).unwrap()
    };
    let event = process.written(&[join(1), join(2)]);
    process.handle(event);
    // Witnesses are named now, and none of them answers.
    process.now += LEASE;
    let answer = process.check_in(1, 20, granted);
    assert_eq!((answer.granted.len(), answer.hold), (0, None));
    assert!(process.agent.serving_units().is_empty());
}

#[test]
fn a_manifest_is_brought_into_the_log_once() {
    let mut process = Process::new();
    process.granted(1, 1);
    assert_eq!(process.agent.fleet().revision(), 1);
    let next = process.offset;
    process.handle(Event::Declared(OperatorDeclarations {
        manifest: Some(Box::new(manifest())),
        ..OperatorDeclarations::default()
    }));
    process.check_in(1, 30, Vec::new());
    assert_eq!(process.offset, next);
    let void = Body::Publish {
        base: 0,
        document: Document::Manifest(Box::new(manifest())),
    };
    let record = Record {
        body: void,
        id: "again".to_owned(),
        writer: "other".to_owned(),
    };
    let event = process.written(&[record]);
    process.handle(event);
    assert_eq!(process.agent.fleet().revision(), 1);
}
