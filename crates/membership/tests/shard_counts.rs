//! Number of shards in the record of the first manifest of a service with numeric keys.

mod support;

use std::time::Duration;

use cluster::Body;
use cluster::Document;
use config::Manifest;
use config::Plans;
use config::Service;
use membership::Action;
use membership::Agent;
use membership::AgentSettings;
use membership::Event;
use membership::OperatorDeclarations;
use support::agent_settings;
use support::first_records;
use support::vm;

/// Time at which each member has published the declared manifest unless it is in the log.
const END: Duration = Duration::from_secs(30);

fn manifest(revision: u64) -> Box<Manifest> {
    let service = Service {
        numeric_keys: Some(65_536),
        ..Service::default()
    };
    Box::new(Manifest {
        plans: Plans {
            hosts: [("app.example".to_owned(), Vec::new())].into(),
            services: [("orders".to_owned(), service)].into(),
            ..Plans::default()
        },
        revision,
        ..Manifest::default()
    })
}

/// Returns the number of shards that the first member states in its record of a declared manifest.
fn published_shards(
    shards_per_member: Option<u32>,
    records: Vec<(u64, String)>,
    revision: u64,
) -> u32 {
    let mut agent = Agent::new(AgentSettings {
        shards_per_member,
        ..agent_settings(&vm(0))
    });
    let next = records.len() as u64 + 1;
    agent.handle(Duration::from_secs(1), Event::Records { next, records });
    agent.handle(
        Duration::from_secs(1),
        Event::Declared(OperatorDeclarations {
            manifest: Some(manifest(revision)),
            ..OperatorDeclarations::default()
        }),
    );
    let mut now = Duration::from_secs(1);
    let mut actions = Vec::new();
    while now < END {
        now += Duration::from_millis(250);
        actions.extend(agent.handle(now, Event::LogIdle));
        actions.extend(agent.handle(now, Event::Tick));
    }
    let shards = actions.into_iter().find_map(|action| match action {
        Action::Append(record) => match record.body {
            Body::Publish {
                document: Document::Manifest(manifest),
                ..
            } => Some(manifest.plans.services["orders"].shards),
            _ => None,
        },
        _ => None,
    });
    shards.expect("the manifest is published")
}

/// Guards against a record without a number, which the log rejects, and against a number by another count of members.
#[test]
fn the_record_of_the_first_manifest_states_the_number() {
    let joins = |members: usize| {
        let empty = Box::new(Manifest {
            revision: 1,
            ..Manifest::default()
        });
        first_records(members, 0, empty)
    };
    assert_eq!(published_shards(Some(40), joins(39), 2), 2_048);
    assert_eq!(published_shards(Some(40), joins(4), 2), 256);
    assert_eq!(published_shards(None, joins(39), 2), 256);
}

#[test]
fn the_record_of_a_later_manifest_states_the_registered_number() {
    let mut first = manifest(1);
    first.plans.services.get_mut("orders").unwrap().shards = 512;
    let records = first_records(39, 0, first);
    assert_eq!(published_shards(Some(40), records, 2), 512);
}
