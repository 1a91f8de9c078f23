//! Records that the log will never accept.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use cluster::Body;
use cluster::Document;
use cluster::Record;
use membership::Action;
use membership::Agent;
use membership::Decision;
use membership::Event;
use membership::OperatorDeclarations;
use support::agent;
use support::first_publication;
use support::manifest;

fn declared(revision: u64, zones_out: &[&str]) -> Event {
    Event::Declared(OperatorDeclarations {
        manifest: Some(manifest(revision)),
        position: revision,
        rollouts: BTreeMap::new(),
        zones_out: zones_out.iter().map(|zone| (*zone).to_owned()).collect(),
    })
}

/// Returns an agent that has read a log with the first manifest.
fn informed_agent() -> Agent {
    let mut agent = agent();
    let records = vec![(1, first_publication())];
    agent.handle(seconds(1), Event::Records { next: 2, records });
    agent
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Handles an event, and returns the records that the agent appends.
fn appended(agent: &mut Agent, at: u64, event: Event) -> Vec<Record> {
    agent.handle(seconds(at), Event::LogIdle);
    let actions = agent.handle(seconds(at), event);
    let records = actions.into_iter().filter_map(|action| match action {
        Action::Append(record) => Some(record),
        _ => None,
    });
    records.collect()
}

fn revisions(records: &[Record]) -> Vec<u64> {
    let revisions = records.iter().filter_map(|record| match &record.body {
        Body::Publish {
            document: Document::Manifest(manifest),
            ..
        } => Some(manifest.revision),
        _ => None,
    });
    revisions.collect()
}

fn rejection(record: &Record) -> Event {
    Event::AppendRejected {
        id: record.id.clone(),
        reason: "too long".to_owned(),
    }
}

// Guards against an append that is repeated for ever, and against log lines for each repetition.
#[test]
fn a_rejected_manifest_is_given_up_with_one_decision() {
    let mut agent = informed_agent();
    let published = appended(&mut agent, 2, declared(2, &[]));
    assert_eq!(revisions(&published), [2]);
    let actions = agent.handle(seconds(2), rejection(&published[0]));
    let what = "manifest 2".to_owned();
    let reason = "too long".to_owned();
    let decision = Action::LogDecision(Decision::AppendGivenUp { reason, what });
    assert_eq!(actions, [decision]);
    assert_eq!(agent.handle(seconds(2), rejection(&published[0])), []);
    for at in 3..20 {
        assert_eq!(appended(&mut agent, at, Event::Tick), []);
    }
    assert_eq!(
        revisions(&appended(&mut agent, 20, declared(3, &[]))),
        [3],
        "a later manifest is published"
    );
}

// Guards against a pending manifest that holds up the declarations after it.
#[test]
fn a_pending_manifest_holds_up_neither_a_later_one_nor_a_zone() {
    let mut agent = informed_agent();
    assert_eq!(revisions(&appended(&mut agent, 2, declared(2, &[]))), [2]);
    let zone = appended(&mut agent, 3, declared(2, &["z-2"]));
    assert!(
        matches!(
            zone[..],
            [Record {
                body: Body::Zone { out: true, .. },
                ..
            }]
        ),
        "{zone:?}"
    );
    assert_eq!(
        revisions(&appended(&mut agent, 3, declared(3, &["z-2"]))),
        [3]
    );
    let repeated = revisions(&appended(&mut agent, 5, Event::Tick));
    assert_eq!(repeated, [3], "the earlier manifest is not repeated");
    let returned = appended(&mut agent, 5, declared(3, &[]));
    assert!(
        returned.is_empty(),
        "the log does not hold the zone as out of service"
    );
}

#[test]
fn a_rejected_zone_is_given_up_until_operators_declare_again() {
    let mut agent = informed_agent();
    let zone = appended(&mut agent, 2, declared(1, &["z-2"]));
    agent.handle(seconds(2), rejection(&zone[0]));
    for at in 3..10 {
        assert_eq!(appended(&mut agent, at, Event::Tick), []);
    }
    assert_eq!(
        revisions(&appended(&mut agent, 10, declared(2, &["z-2"]))),
        [2]
    );
}
