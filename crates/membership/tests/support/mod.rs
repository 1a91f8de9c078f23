//! Agents for tests.

#![allow(dead_code)]

use std::time::Duration;

use cluster::Body;
use cluster::Document;
use cluster::Join;
use cluster::LEASE;
use cluster::Record;
use config::Manifest;
use membership::Agent;
use membership::AgentSettings;

/// Time that a read of the log waits for records.
const LOG_WAIT: Duration = Duration::from_secs(60);

/// Returns the agent of a process that has just started.
pub(crate) fn agent() -> Agent {
    agent_of("vm-1")
}

/// Returns the agent of the process of a VM that has just started.
pub(crate) fn agent_of(vm: &str) -> Agent {
    Agent::new(agent_settings(vm))
}

/// Returns the settings of the process of a VM.
pub(crate) fn agent_settings(vm: &str) -> AgentSettings {
    AgentSettings {
        evacuation_timeout: Duration::from_secs(5),
        lease: LEASE,
        load_tolerance: None,
        log_wait: LOG_WAIT,
        peer: "10.0.0.1:7000".parse().unwrap(),
        places_by_cost: false,
        region: "r".to_owned(),
        retention: None,
        rollouts_enabled: true,
        seed: 7,
        shards_per_member: None,
        stop_timeout: std::time::Duration::from_secs(20),
        vm: vm.to_owned(),
        zone: "z".to_owned(),
    }
}

/// Returns a manifest that declares nothing.
pub(crate) fn manifest(revision: u64) -> Box<Manifest> {
    Box::new(Manifest {
        revision,
        ..Manifest::default()
    })
}

/// Returns the text of a record of another member.
pub(crate) fn record(id: &str, body: Body) -> String {
    let record = Record {
        body,
        id: id.to_owned(),
        writer: "vm-2".to_owned(),
    };
    serde_json::to_string(&record).unwrap()
}

/// Returns the name of a member of a fleet.
pub(crate) fn vm(index: usize) -> String {
    format!("vm-{index:03}")
}

/// Returns the records of a first manifest, which follows `skipped` records without effect, and of the joins of all members.
pub(crate) fn first_records(
    members: usize,
    skipped: u64,
    manifest: Box<Manifest>,
) -> Vec<(u64, String)> {
    let join = |index: usize| {
        Body::Join(Join {
            connections: 10,
            instance: String::new(),
            lease_ms: LEASE.as_millis() as u64,
            peer: format!("10.0.{}.{}:7000", index / 200, index % 200)
                .parse()
                .unwrap(),
            region: "r".to_owned(),
            service: "orders".to_owned(),
            slots: 4,
            version: String::new(),
            vm: vm(index),
            zone: "z".to_owned(),
        })
    };
    let document = Document::Manifest(manifest);
    let first = Body::Publish { base: 0, document };
    let bodies = std::iter::once(first).chain((0..members).map(join));
    let texts = bodies
        .enumerate()
        .map(|(index, body)| record(&format!("first-{index}"), body));
    let skipped = (0..skipped).map(|_| "a record of another version".to_owned());
    (1..).zip(skipped.chain(texts)).collect()
}

/// Returns the text of the record that publishes the first manifest.
pub(crate) fn first_publication() -> String {
    let document = Document::Manifest(manifest(1));
    record("record-1", Body::Publish { base: 0, document })
}
