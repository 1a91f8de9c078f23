//! Records and bytes that the publication of one manifest costs the log.
//!
//! Load pattern: operators write a manifest, and all members read it within a quarter of a second. Each publishes it in its turn
//! unless it has read it back by then. Reads share the bandwidth of the store.

mod support;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use cluster::Body;
use config::HostRoute;
use config::Manifest;
use config::Plans;
use config::Service;
use config::WeightedTarget;
use membership::Action;
use membership::Agent;
use membership::Event;
use membership::OperatorDeclarations;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::agent_of;
use support::first_records;
use support::vm;

const SEED: u64 = 38;

/// Maximum size of a record, in bytes.
const RECORD_BYTES: usize = 262_144;

/// Length of a route in the record of operators, in bytes.
const OPERATOR_ROUTE_BYTES: f64 = 120.0;

/// Bytes that the store reads for all members together in a second.
const READ_BYTES_PER_SECOND: f64 = 80e6;

/// Bytes that the store appends to a topic in a second.
const APPEND_BYTES_PER_SECOND: f64 = 20e6;

/// Time that the store takes for a call.
const CALL_TIME: Duration = Duration::from_millis(4);

/// Longest pause between two reads of the log, in milliseconds.
const READ_PAUSE_MS: u64 = 250;

/// Time between two steps of the replay.
const STEP: Duration = Duration::from_millis(50);

/// Time after which every member has read the manifest.
const END: Duration = Duration::from_secs(60);

fn manifest(revision: u64, routes: usize) -> Box<Manifest> {
    let route = |index: usize| HostRoute {
        attempts: 2,
        idempotent: true,
        name: format!("added-{index}"),
        open: false,
        prefix: format!("/with-a-long-prefix/{index}/"),
        priority: 1,
        target_latency_ms: 200,
        targets: vec![WeightedTarget {
            service: "orders".to_owned(),
            weight: 1,
        }],
        timeout_ms: 1_000,
        upload: false,
    };
    let service = Service {
        cold_start: None,
        connections: None,
        health_path: None,
        numeric_keys: None,
        routes: Vec::new(),
        shards: 0,
    };
    let routes = (0..routes).map(route).collect();
    Box::new(Manifest {
        plans: Plans {
            hosts: BTreeMap::from([("app.example".to_owned(), routes)]),
            plans: BTreeMap::new(),
            services: BTreeMap::from([("orders".to_owned(), service)]),
            unreadable_routes: BTreeMap::new(),
        },
        revision,
        ..Manifest::default()
    })
}

fn transfer_time(bytes: f64, bytes_per_second: f64) -> Duration {
    Duration::from_secs_f64(bytes / bytes_per_second)
}

/// A record in the log, with the time from which members read it.
struct Stored {
    at: Duration,
    offset: u64,
    text: String,
}

/// Returns the number of publications, records and bytes that members append for one manifest.
fn publish(members: usize, routes: usize) -> (usize, usize, usize) {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let first = first_records(members, 0, manifest(1, 1));
    let mut next = first.len() as u64 + 1;
    let mut agents: Vec<Agent> = (0..members).map(|index| agent_of(&vm(index))).collect();
    for agent in &mut agents {
        let records = first.clone();
        agent.handle(STEP, Event::Records { next, records });
    }
    let operator_bytes = routes as f64 * OPERATOR_ROUTE_BYTES;
    let declared_at: Vec<Duration> = (0..members)
        .map(|index| {
            let bytes = operator_bytes * (index + 1) as f64;
            let pause = Duration::from_millis(rng.random_range(0..READ_PAUSE_MS));
            STEP + CALL_TIME + pause + transfer_time(bytes, READ_BYTES_PER_SECOND)
        })
        .collect();
    let mut stored: Vec<Stored> = Vec::new();
    let mut read: Vec<usize> = vec![0; members];
    let mut is_declared = vec![false; members];
    let (mut publications, mut records, mut bytes) = (0, 0, 0);
    let mut now = STEP;
    while now < END && read.contains(&0) {
        now += STEP;
        for (index, agent) in agents.iter_mut().enumerate() {
            let mut actions = agent.handle(now, Event::LogIdle);
            if !is_declared[index] && now >= declared_at[index] {
                is_declared[index] = true;
                let declared = OperatorDeclarations {
                    manifest: Some(manifest(2, routes)),
                    ..OperatorDeclarations::default()
                };
                actions.extend(agent.handle(now, Event::Declared(declared)));
            }
            let delay = |stored: &Stored| {
                let bytes = stored.text.len() as f64 * (index + 1) as f64;
                stored.at + transfer_time(bytes, READ_BYTES_PER_SECOND)
            };
            let due = stored[read[index]..]
                .iter()
                .take_while(|stored| delay(stored) <= now);
            let due: Vec<(u64, String)> = due
                .map(|stored| (stored.offset, stored.text.clone()))
                .collect();
            if !due.is_empty() {
                read[index] += due.len();
                actions.extend(agent.handle(now, Event::Records { next, records: due }));
            }
            for action in actions {
                let Action::Append(record) = action else {
                    continue;
                };
                if !matches!(record.body, Body::Publish { .. }) {
                    continue;
                }
                publications += 1;
                let parts = record.encode(RECORD_BYTES).unwrap();
                let size: usize = parts.iter().map(Vec::len).sum();
                let pause = Duration::from_millis(rng.random_range(0..READ_PAUSE_MS));
                let at =
                    now + CALL_TIME + pause + transfer_time(size as f64, APPEND_BYTES_PER_SECOND);
                let at = at.max(stored.last().map_or(at, |last| last.at));
                for part in parts {
                    records += 1;
                    bytes += part.len();
                    let text = String::from_utf8(part).unwrap();
                    stored.push(Stored {
                        at,
                        offset: next,
                        text,
                    });
                    next += 1;
                }
            }
        }
    }
    for agent in &agents {
        assert_eq!(agent.fleet().revision(), 2);
    }
    (publications, records, bytes)
}

// Shows what one manifest costs the log. Each further publication is written and read in vain.
#[test]
fn costs_of_a_manifest() {
    let mut report = String::new();
    for (members, routes) in [(25, 1), (25, 350), (25, 1_750)] {
        let (publications, records, bytes) = publish(members, routes);
        let kib = bytes >> 10;
        writeln!(
            report,
            "{members} members, {routes} routes: {publications} publications, {records} records, {kib} KiB"
        )
        .unwrap();
    }
    insta::assert_snapshot!(report);
}
