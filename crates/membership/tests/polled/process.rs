//! A process beside an upstream that polls its grants.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cluster::Body;
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

pub(crate) const SHARDS: u32 = 8;

/// A process whose appends are written immediately.
pub(crate) struct Process {
    pub(crate) agent: Agent,
    answers: Vec<CheckInAnswer>,
    /// All records of the log, with their offsets.
    log: Vec<(u64, String)>,
    pub(crate) now: Duration,
    pub(crate) offset: u64,
    /// Instances of the upstream whose state the home was told, in order.
    pub(crate) recorded_instances: Vec<String>,
    /// Whether records of zones that the process appends are lost.
    pub(crate) loses_zone_records: bool,
    /// Version that the upstream states.
    pub(crate) version: String,
}

impl Process {
    pub(crate) fn new() -> Self {
        Self::started_at(Duration::from_secs(5), None)
    }

    /// Returns a process that has read the empty log and the declared manifest at `now`.
    pub(crate) fn started_at(now: Duration, shards_per_member: Option<u32>) -> Self {
        let mut process = Self::without_manifest(now, shards_per_member);
        process.declare_manifest();
        process
    }

    /// Returns a process that has read the empty log and no manifest.
    pub(crate) fn before_manifest() -> Self {
        Self::without_manifest(Duration::from_secs(5), None)
    }

    fn without_manifest(now: Duration, shards_per_member: Option<u32>) -> Self {
        let peer: SocketAddr = "10.0.0.1:7000".parse().unwrap();
        let agent = Agent::new(AgentSettings {
            evacuation_timeout: Duration::from_secs(5),
            lease: LEASE,
            load_tolerance: None,
            log_wait: Duration::from_secs(10),
            peer,
            places_by_cost: false,
            region: "r".to_owned(),
            retention: None,
            rollouts_enabled: true,
            seed: 7,
            shards_per_member,
            stop_timeout: Duration::from_secs(20),
            vm: "vm-1".to_owned(),
            zone: "z".to_owned(),
        });
        let mut process = Self {
            agent,
            answers: Vec::new(),
            log: Vec::new(),
            now,
            offset: 1,
            recorded_instances: Vec::new(),
            loses_zone_records: false,
            version: String::new(),
        };
        process.handle(Event::LogIdle);
        process
    }

    /// Returns the process that starts in place of this one, and has read the log and the declared manifest.
    pub(crate) fn restart(self) -> Self {
        let mut process = Self::without_manifest(self.now, None);
        process.log = self.log;
        process.offset = self.offset;
        process.handle(Event::Records {
            next: process.offset,
            records: process.log.clone(),
        });
        process.declare_manifest();
        process
    }

    pub(crate) fn declare_manifest(&mut self) {
        self.handle(Event::Declared(OperatorDeclarations {
            manifest: Some(Box::new(manifest())),
            ..OperatorDeclarations::default()
        }));
    }

    pub(crate) fn handle(&mut self, event: Event) {
        let mut actions = self.agent.handle(self.now, event);
        while !actions.is_empty() {
            let mut appended = Vec::new();
            for action in actions {
                match action {
                    Action::AnswerCheckIn(answer) => self.answers.push(answer),
                    Action::Append(Record {
                        body: Body::Zone { .. },
                        ..
                    }) if self.loses_zone_records => {}
                    Action::Append(record) => appended.push(record),
                    Action::RecordUpstreamState { process, .. } => {
                        self.recorded_instances.push(process.instance);
                    }
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

    pub(crate) fn append(&mut self, records: &[Record]) -> Event {
        let texts = records.iter().map(|record| {
            let text = serde_json::to_string(record).unwrap();
            let offset = self.offset;
            self.offset += 1;
            (offset, text)
        });
        let records: Vec<_> = texts.collect();
        self.log.extend(records.iter().cloned());
        Event::Records {
            next: self.offset,
            records,
        }
    }

    /// Advances the time by 900 ms, and checks in.
    pub(crate) fn check_in(
        &mut self,
        instance: u64,
        sequence: u64,
        held: Vec<UnitFence>,
    ) -> CheckInAnswer {
        self.check_in_as(self.announcement(instance), sequence, held)
    }

    /// Returns the announcement of an instance of the upstream.
    pub(crate) fn announcement(&self, instance: u64) -> Announcement {
        Announcement {
            address: "10.0.0.1:9000".parse().unwrap(),
            checks_grants: true,
            connections: 10,
            instance: format!("instance-{instance}"),
            polls_grants: true,
            service: "orders".to_owned(),
            slots: 9,
            started_unix_ms: instance,
            version: self.version.clone(),
        }
    }

    /// Advances the time by 900 ms, and checks in with an announcement.
    pub(crate) fn check_in_as(
        &mut self,
        announcement: Announcement,
        sequence: u64,
        held: impl Into<Option<Vec<UnitFence>>>,
    ) -> CheckInAnswer {
        self.now += Duration::from_millis(900);
        self.handle(Event::LogIdle);
        self.handle(Event::Tick);
        self.handle(Event::CheckedIn(CheckIn {
            announcement,
            draining: false,
            handovers: BTreeMap::new(),
            held: held.into(),
            id: sequence,
            sequence,
            warm_up_left: Duration::ZERO,
        }));
        self.handle(Event::Tick);
        self.answers.pop().expect("every check-in is answered")
    }

    /// Checks in until all shards are granted, and returns them.
    pub(crate) fn check_in_until_granted(&mut self, instance: u64, first: u64) -> Vec<UnitFence> {
        for sequence in first..first + 4 {
            let answer = self.check_in(instance, sequence, Vec::new());
            if answer.granted.len() == SHARDS as usize {
                return answer.granted;
            }
        }
        panic!("the shards are not granted");
    }
}

pub(crate) fn manifest() -> Manifest {
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
