//! Roll-outs at a member whose upstream polls its grants.

use std::collections::BTreeSet;

use cluster::Body;
use cluster::Record;
use cluster::RolloutRecord;
use cluster::RolloutStep;
use cluster::UnitFence;
use ids::Unit;
use membership::Event;

use crate::process::Process;
use crate::process::SHARDS;

/// Returns a process that serves all shards with an upstream of version v1, and the shards.
fn process_of_v1() -> (Process, Vec<UnitFence>) {
    let mut process = Process::new();
    process.version = "v1".to_owned();
    let granted = process.check_in_until_granted(1, 1);
    (process, granted)
}

fn append(process: &mut Process, body: Body) {
    let record = Record {
        body,
        id: format!("other-{}", process.offset),
        writer: "vm-2".to_owned(),
    };
    let event = process.append(&[record]);
    process.handle(event);
}

fn step(process: &mut Process, step: RolloutStep) {
    let record = RolloutRecord {
        service: "orders".to_owned(),
        position: 5,
        step,
    };
    append(process, Body::Rollout(record));
}

fn order_v2(process: &mut Process) {
    step(
        process,
        RolloutStep::Ordered {
            target_version: "v2".to_owned(),
            duration_ms: 12_000,
            ordered_unix_ms: 0,
        },
    );
}

/// Adds another member, in another region, so that the process needs no witness.
fn join_other(process: &mut Process, version: &str) {
    let join = format!(
        r#"{{"body":{{"type":"join","connections":9,"peer":"10.0.1.1:7000","region":"r-2","service":"orders",
        "slots":9,"version":"{version}","vm":"vm-2","zone":"y"}},"id":"j-{version}","writer":"vm-2"}}"#
    );
    let event = process.append(&[serde_json::from_str(&join).unwrap()]);
    process.handle(event);
}

fn owners(process: &Process) -> BTreeSet<&str> {
    let owners = process.agent.fleet().owners().iter();
    let shards = owners.filter(|(unit, _)| matches!(unit, Unit::Shard { .. }));
    shards.map(|(_, owner)| owner.vm.as_str()).collect()
}

#[test]
fn a_member_states_the_version_of_its_upstream() {
    let (mut process, granted) = process_of_v1();
    assert_eq!(process.agent.fleet().members()["vm-1"].join.version, "v1");
    // A check-in of the same process that states no version changes nothing.
    process.version = String::new();
    let answer = process.check_in(1, 20, granted.clone());
    assert_eq!(answer.granted, granted);
    assert_eq!(process.agent.fleet().members()["vm-1"].join.version, "v1");
}

/// Guards against a version on trial that gets all units of a member in whose place it starts.
#[test]
fn an_upstream_that_returns_on_trial_is_granted_nothing() {
    let (mut process, _) = process_of_v1();
    join_other(&mut process, "v1");
    order_v2(&mut process);
    process.version = "v2".to_owned();
    for sequence in 1..6 {
        let answer = process.check_in(2, sequence, Vec::new());
        assert_eq!(answer.granted, []);
    }
    assert_eq!(process.agent.fleet().members()["vm-1"].join.version, "v2");
    assert_eq!(owners(&process), BTreeSet::from(["vm-2"]));
}

/// Guards against a trial without requests: its first quarter may be shorter than the interval between two plans that balance
/// load.
#[test]
fn units_on_trial_are_moved_at_the_check_in_after_the_share_is_known() {
    let (mut process, granted) = process_of_v1();
    order_v2(&mut process);
    join_other(&mut process, "v2");
    let answer = process.check_in(1, 20, granted.clone());
    assert_eq!(
        answer.granted.len(),
        SHARDS as usize,
        "the share is not known"
    );
    process.handle(Event::TrialShare { share: 0.3 });
    let answer = process.check_in(1, 21, granted.clone());
    assert_eq!(answer.granted.len(), SHARDS as usize - 2);
    process.check_in(1, 22, answer.granted);
    let fleet = process.agent.fleet();
    let moved: BTreeSet<Unit> = fleet
        .units_of("vm-2")
        .map(|(unit, _)| unit.clone())
        .collect();
    let on_trial = fleet.trial_units(&"orders".to_owned(), 0.3);
    assert_eq!(moved, on_trial.into_iter().collect());
}

/// Guards against members on trial that wait for the next plan that balances load.
#[test]
fn units_on_trial_are_moved_soon_after_a_member_on_trial_joins() {
    let (mut process, granted) = process_of_v1();
    order_v2(&mut process);
    process.handle(Event::TrialShare { share: 0.3 });
    let answer = process.check_in(1, 20, granted.clone());
    assert_eq!(answer.granted.len(), SHARDS as usize);
    join_other(&mut process, "v2");
    let answer = process.check_in(1, 21, granted);
    assert_eq!(answer.granted.len(), SHARDS as usize - 2);
}

#[test]
fn a_promotion_moves_all_units_and_a_rollback_none() {
    let (mut process, granted) = process_of_v1();
    order_v2(&mut process);
    join_other(&mut process, "v2");
    step(&mut process, RolloutStep::Promoted);
    let answer = process.check_in(1, 20, granted);
    assert_eq!(answer.granted, []);
    process.check_in(1, 21, Vec::new());
    assert_eq!(owners(&process), BTreeSet::from(["vm-2"]));
    assert!(process.agent.serving_units().is_empty());

    let (mut process, granted) = process_of_v1();
    order_v2(&mut process);
    join_other(&mut process, "v2");
    let reason = "bad answers".to_owned();
    step(&mut process, RolloutStep::RolledBack { reason });
    process.handle(Event::TrialShare { share: 0.3 });
    for sequence in 20..25 {
        let answer = process.check_in(1, sequence, granted.clone());
        assert_eq!(answer.granted, granted);
    }
}
