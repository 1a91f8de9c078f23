//! Publication of the declarations of operators by a process that has just started.

mod support;

use std::time::Duration;

use cluster::Body;
use cluster::Document;
use cluster::Record;
use membership::Action;
use membership::Event;
use membership::OperatorDeclarations;
use support::agent;
use support::first_publication;
use support::manifest;

/// Time by which the only process must have published.
const DEADLINE: Duration = Duration::from_secs(1);

/// Returns the revisions that a process without an upstream publishes after it has read the log.
fn published_revisions(log: Vec<(u64, String)>) -> Vec<u64> {
    let mut agent = agent();
    let now = Duration::from_millis(100);
    let next = log.len() as u64 + 1;
    let mut actions = agent.handle(now, Event::Records { next, records: log });
    let declared = OperatorDeclarations {
        manifest: Some(manifest(2)),
        ..OperatorDeclarations::default()
    };
    actions.extend(agent.handle(now, Event::Declared(declared)));
    actions.extend(agent.handle(DEADLINE, Event::Tick));
    let published = actions.into_iter().filter_map(|action| match action {
        Action::Append(Record {
            body:
                Body::Publish {
                    document: Document::Manifest(manifest),
                    ..
                },
            ..
        }) => Some(manifest.revision),
        _ => None,
    });
    published.collect()
}

#[test]
fn a_process_that_has_not_joined_publishes_a_newer_manifest() {
    let log = vec![(1, first_publication())];
    assert_eq!(published_revisions(log), [2]);
}

#[test]
fn the_first_manifest_is_left_to_members() {
    assert_eq!(published_revisions(Vec::new()), [] as [u64; 0]);
}
