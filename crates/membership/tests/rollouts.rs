//! Publication of the orders of roll-outs, and the join of members with a version that is ordered.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cluster::Body;
use cluster::Document;
use cluster::Record;
use cluster::RolloutOrder;
use cluster::RolloutRecord;
use cluster::RolloutStep;
use membership::Action;
use membership::Agent;
use membership::AgentSettings;
use membership::Announcement;
use membership::Decision;
use membership::Event;
use membership::OperatorDeclarations;
use support::agent_settings;
use support::first_publication;
use support::manifest;
use support::record;

const SERVICE: &str = "orders";

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn order(position: u64, target_version: &str) -> RolloutOrder {
    RolloutOrder {
        duration_ms: 12_000,
        ordered_unix_ms: 1_000,
        position,
        target_version: target_version.to_owned(),
    }
}

fn declared(revision: u64, order: RolloutOrder) -> Event {
    Event::Declared(OperatorDeclarations {
        manifest: Some(manifest(revision)),
        position: order.position,
        rollouts: BTreeMap::from([(SERVICE.to_owned(), order)]),
        zones_out: BTreeSet::new(),
    })
}

fn rollout(position: u64, step: RolloutStep) -> Body {
    Body::Rollout(RolloutRecord {
        service: SERVICE.to_owned(),
        position,
        step,
    })
}

fn ordered(order: &RolloutOrder) -> Body {
    let step = RolloutStep::Ordered {
        target_version: order.target_version.clone(),
        duration_ms: order.duration_ms,
        ordered_unix_ms: order.ordered_unix_ms,
    };
    rollout(order.position, step)
}

/// A process and the log that it reads, to which only tests append.
struct Process {
    agent: Agent,
    next: u64,
    now: Duration,
}

impl Process {
    /// Returns a process that has read a log with the first manifest.
    fn new(settings: AgentSettings) -> Self {
        let mut process = Self {
            agent: Agent::new(settings),
            next: 1,
            now: seconds(5),
        };
        process.read(&[first_publication()]);
        process
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        self.agent.handle(self.now, event)
    }

    fn read(&mut self, texts: &[String]) -> Vec<Action> {
        let records = (self.next..).zip(texts.iter().cloned()).collect();
        self.next += texts.len() as u64;
        let next = self.next;
        self.handle(Event::Records { next, records })
    }

    /// Advances the time, and returns the records that the process appends, each once.
    fn wait(&mut self) -> Vec<Record> {
        self.wait_after(Vec::new())
    }

    /// Advances the time, and returns the records of `actions` and those that the process appends then, each once.
    fn wait_after(&mut self, actions: Vec<Action>) -> Vec<Record> {
        let mut records = appended(actions);
        for _ in 0..20 {
            self.now += Duration::from_millis(100);
            let mut actions = self.handle(Event::LogIdle);
            actions.extend(self.handle(Event::Tick));
            for appended in appended(actions) {
                if !records.iter().any(|known| known.id == appended.id) {
                    records.push(appended);
                }
            }
        }
        records
    }
}

fn appended(actions: Vec<Action>) -> Vec<Record> {
    let records = actions.into_iter().filter_map(|action| match action {
        Action::Append(record) => Some(record),
        _ => None,
    });
    records.collect()
}

fn texts(records: &[Record]) -> Vec<String> {
    let texts = records.iter().map(serde_json::to_string);
    texts.map(Result::unwrap).collect()
}

fn bodies(records: Vec<Record>) -> Vec<Body> {
    records.into_iter().map(|record| record.body).collect()
}

fn published(process: &mut Process, revision: u64, order: RolloutOrder) -> Vec<Body> {
    let actions = process.handle(declared(revision, order));
    bodies(process.wait_after(actions))
}

#[test]
fn an_order_is_published_once() {
    let mut process = Process::new(agent_settings("vm-1"));
    let order = order(5, "v2");
    let actions = process.handle(declared(1, order.clone()));
    let records = process.wait_after(actions);
    process.read(&texts(&records));
    assert_eq!(bodies(records), [ordered(&order)]);
    assert_eq!(process.agent.declared_rollouts()[SERVICE], order);
    assert!(process.agent.fleet().rollout(SERVICE).is_some());
    assert_eq!(published(&mut process, 1, order), []);
}

/// Guards against orders that change something where roll-outs are not supported.
#[test]
fn an_order_is_not_published_unless_the_settings_enable_that() {
    let mut process = Process::new(AgentSettings {
        rollouts_enabled: false,
        ..agent_settings("vm-1")
    });
    assert_eq!(published(&mut process, 1, order(5, "v2")), []);
    assert_eq!(process.agent.declared_rollouts().len(), 1);
}

#[test]
fn only_an_order_at_a_later_position_is_published_again() {
    let mut process = Process::new(agent_settings("vm-1"));
    let first = order(5, "v2");
    process.read(&[record("ordered", ordered(&first))]);
    for position in [3, 5] {
        assert_eq!(published(&mut process, 1, order(position, "v3")), []);
    }
    let later = order(6, "v2");
    assert_eq!(published(&mut process, 1, later.clone()), [ordered(&later)]);
}

/// Guards against a repetition that begins the trial of a version again after its rollback.
#[test]
fn a_repetition_that_the_log_has_rejected_is_not_published_again() {
    let mut process = process_with_service(agent_settings("vm-1"));
    let first = order(5, "v2");
    let repeated = order(6, "v2");
    process.read(&[
        record("ordered", ordered(&first)),
        record("repeated", ordered(&repeated)),
    ]);
    let rolled_back = RolloutStep::RolledBack {
        reason: "bad answers".to_owned(),
    };
    process.read(&[record("ended", rollout(5, rolled_back))]);
    let rollout = process.agent.fleet().rollout(SERVICE).expect("an order");
    assert_eq!(
        (rollout.order.position, rollout.state.is_ended()),
        (5, true)
    );
    assert_eq!(published(&mut process, 2, repeated), []);
}

/// Guards against an order that the log refuses because it does not know the service yet.
#[test]
fn an_order_is_published_after_the_manifest() {
    let mut process = Process::new(agent_settings("vm-1"));
    let order = order(5, "v2");
    let actions = process.handle(declared(2, order.clone()));
    let records = process.wait_after(actions);
    process.read(&texts(&records));
    assert_eq!(process.agent.fleet().revision(), 2);
    let first = bodies(records);
    assert!(
        matches!(first.as_slice(), [Body::Publish { .. }]),
        "{first:?}"
    );
    assert_eq!(bodies(process.wait()), [ordered(&order)]);
}

#[test]
fn an_order_that_the_log_never_accepts_is_given_up() {
    let mut process = Process::new(agent_settings("vm-1"));
    let actions = process.handle(declared(1, order(5, "v2")));
    let records = process.wait_after(actions);
    let actions = process.handle(Event::AppendRejected {
        id: records[0].id.clone(),
        reason: "too long".to_owned(),
    });
    let decision = Decision::AppendGivenUp {
        reason: "too long".to_owned(),
        what: "roll-out of orders".to_owned(),
    };
    assert!(actions.contains(&Action::LogDecision(decision)));
    process.wait();
    assert_eq!(bodies(process.wait()), []);
}

/// Returns a process that has read a log with a manifest that declares the service.
fn process_with_service(settings: AgentSettings) -> Process {
    let mut process = Process::new(settings);
    let mut declared = manifest(2);
    declared
        .plans
        .hosts
        .insert("app.example".to_owned(), Vec::new());
    let service = config::Service {
        numeric_keys: Some(64),
        shards: 8,
        ..config::Service::default()
    };
    declared.plans.services.insert(SERVICE.to_owned(), service);
    let document = Document::Manifest(declared);
    process.read(&[record("services", Body::Publish { base: 1, document })]);
    assert_eq!(process.agent.fleet().revision(), 2);
    process
}

/// Returns a process beside an upstream of a version, which has not joined.
fn process_beside(version: &str) -> Process {
    let mut process = process_with_service(agent_settings("vm-1"));
    process.handle(declared(2, order(5, "v2")));
    let announced = Event::Announced(Announcement {
        address: "10.0.0.1:9000".parse().unwrap(),
        checks_grants: true,
        connections: 10,
        instance: "instance-1".to_owned(),
        polls_grants: false,
        service: SERVICE.to_owned(),
        slots: 9,
        started_unix_ms: 0,
        version: version.to_owned(),
    });
    process.handle(announced);
    process
}

fn joined_versions(bodies: &[Body]) -> Vec<&str> {
    let versions = bodies.iter().filter_map(|body| match body {
        Body::Join(join) => Some(join.version.as_str()),
        _ => None,
    });
    versions.collect()
}

/// Guards against a version that counts as one in force because its first member joins before the order is in the log.
#[test]
fn a_process_whose_upstream_has_the_ordered_version_joins_after_the_order() {
    let mut process = process_beside("v2");
    let before = bodies(process.wait());
    assert!(before.contains(&ordered(&order(5, "v2"))), "{before:?}");
    assert_eq!(joined_versions(&before), [] as [&str; 0]);
    process.read(&[record("ordered", ordered(&order(5, "v2")))]);
    let after = bodies(process.wait());
    assert_eq!(joined_versions(&after), ["v2"]);
}

#[test]
fn a_process_whose_upstream_has_another_version_joins_at_once() {
    let mut process = process_beside("v1");
    assert_eq!(joined_versions(&bodies(process.wait())), ["v1"]);
}

/// Guards against declarations and announcements of the former version of this program that can't be read any more.
#[test]
fn earlier_forms_are_read() {
    let text = r#"{"manifest":null,"zones_out":["z"]}"#;
    let declarations: OperatorDeclarations = serde_json::from_str(text).unwrap();
    assert!(declarations.rollouts.is_empty());
    let text = r#"{"address":"10.0.0.1:9000","checks_orders":true,"connections":1,"instance":"i","service":"s","slots":1}"#;
    let announcement: Announcement = serde_json::from_str(text).unwrap();
    assert_eq!(announcement.version, "");
    let event: Event = serde_json::from_str(r#"{"trial_share":{"share":0.05}}"#).unwrap();
    assert_eq!(event, Event::TrialShare { share: 0.05 });
}
