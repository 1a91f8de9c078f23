//! Turns of members to publish manifests, while members of whole zones neither publish nor leave.
//!
//! Load pattern: a zone is cut off, and manifests follow each other. The names of members begin with their zones, so that the
//! members of a zone are neighbours in the order of names.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use cluster::Body;
use cluster::Record;
use membership::Action;
use membership::Agent;
use membership::Event;
use membership::OperatorDeclarations;
use support::agent_of;
use support::first_records;
use support::manifest;
use support::vm;

/// Time by which a manifest has to be in force, by which its record thus has to be written.
const BOUND: Duration = Duration::from_millis(2_000);

/// Time of the first manifest.
const START: Duration = Duration::from_secs(5);

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(50);

/// Revisions by which one manifest differs from the next.
const REVISION_STEP: u64 = 3;

/// Reports whether an action publishes a manifest.
fn is_publication(action: &Action) -> bool {
    matches!(
        action,
        Action::Append(Record {
            body: Body::Publish { .. },
            ..
        })
    )
}

/// Returns the time from the first of several manifests until a member publishes one. The first `silent` members do not. The order
/// of turns differs with the revision of the manifest that the log holds, and with the offset of its record, which is the same.
fn time_to_publish(members: usize, silent: usize, revision: u64, interval: Duration) -> Duration {
    let log = first_records(members, revision - 1, manifest(revision));
    let next = log.len() as u64 + 1;
    let mut agents: BTreeMap<usize, Agent> = (silent..members)
        .map(|index| (index, agent_of(&vm(index))))
        .collect();
    for agent in agents.values_mut() {
        let records = log.clone();
        agent.handle(TICK, Event::Records { next, records });
    }
    let mut now = START;
    let mut declared_at = START;
    let mut declared = revision;
    loop {
        let is_declared = now >= declared_at;
        if is_declared {
            declared += REVISION_STEP;
            declared_at += interval;
        }
        for agent in agents.values_mut() {
            let mut actions = agent.handle(now, Event::LogIdle);
            if is_declared {
                let declarations = OperatorDeclarations {
                    manifest: Some(manifest(declared)),
                    ..OperatorDeclarations::default()
                };
                actions.extend(agent.handle(now, Event::Declared(declarations)));
            }
            if actions.iter().any(is_publication) {
                return now - START;
            }
        }
        now += TICK;
    }
}

// Guards against manifests that wait for the turns of lost members, and against those that postpone each other.
#[test]
fn a_manifest_is_published_in_time_while_a_third_of_the_members_is_silent() {
    for (members, silent, step) in [(12, 4, 1), (25, 8, 2), (90, 30, 14)] {
        for interval in [60_000, 1_000, 300].map(Duration::from_millis) {
            for revision in (1..=u64::try_from(members).unwrap()).step_by(step) {
                let time = time_to_publish(members, silent, revision, interval);
                assert!(
                    time <= BOUND,
                    "{members} members, {silent} silent, revision {revision}, one manifest in {interval:?}: {time:?}"
                );
            }
        }
    }
}
