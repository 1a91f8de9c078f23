//! An upstream that polls its grants by check-ins, at the only member of the fleet.

mod evacuations;
mod first_manifest;
mod other_writers;
mod process;
mod replacements;
mod rollouts;

use cluster::Body;
use cluster::Document;
use cluster::LEASE;
use cluster::Record;
use membership::Event;
use membership::OperatorDeclarations;

use crate::process::Process;
use crate::process::SHARDS;
use crate::process::manifest;

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
