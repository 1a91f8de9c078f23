//! Evacuations of the availability zone of a member whose upstream polls its grants.

use std::collections::BTreeMap;

use cluster::UnitFence;
use membership::Event;
use membership::OperatorDeclarations;

use crate::process::Process;
use crate::process::SHARDS;
use crate::process::manifest;

/// Zone of the process.
const ZONE: &str = "z";

/// Returns a process that serves all shards, beside another member that could take them, and the shards.
///
/// The other member is in another region, so the process needs no witness.
fn process_beside_another_member() -> (Process, Vec<UnitFence>) {
    let mut process = Process::new();
    let granted = process.check_in_until_granted(1, 1);
    let join = r#"{"body":{"type":"join","connections":9,"peer":"10.0.1.1:7000","region":"r-2","service":"orders",
        "slots":9,"vm":"vm-2","zone":"y"},"id":"j","writer":"vm-2"}"#;
    let event = process.append(&[serde_json::from_str(join).unwrap()]);
    process.handle(event);
    (process, granted)
}

fn declare(process: &mut Process, position: u64, zones: &[&str]) {
    process.handle(Event::Declared(OperatorDeclarations {
        manifest: Some(Box::new(manifest())),
        position,
        rollouts: BTreeMap::new(),
        zones_out: zones.iter().map(|zone| (*zone).to_owned()).collect(),
    }));
}

// EVAC: the plan of an evacuation waited for the interval between two plans that balance load.
#[test]
fn an_evacuation_is_planned_at_the_next_check_in() {
    let (mut process, granted) = process_beside_another_member();
    process.check_in(1, 10, granted.clone());
    declare(&mut process, 10, &[ZONE]);
    let answer = process.check_in(1, 11, granted);
    assert_eq!(answer.granted, [], "the upstream is to hold nothing");
}

// EVAC: units were drained only once the log held the evacuation.
#[test]
fn units_leave_a_zone_that_is_declared_out_before_the_log_holds_that() {
    let (mut process, granted) = process_beside_another_member();
    process.loses_zone_records = true;
    declare(&mut process, 10, &[ZONE]);
    let answer = process.check_in(1, 10, granted.clone());
    assert_eq!(answer.granted, [], "the upstream is to hold nothing");
    process.check_in(1, 11, Vec::new());
    assert!(process.agent.serving_units().is_empty());
    let units = granted.iter().map(|granted| &granted.unit);
    let owners: BTreeMap<_, _> = units
        .map(|unit| (unit, process.agent.fleet().owner(unit).unwrap().vm.as_str()))
        .collect();
    assert!(owners.values().all(|vm| *vm == "vm-2"), "{owners:?}");
}

#[test]
fn no_unit_goes_to_a_zone_that_is_declared_out() {
    let (mut process, granted) = process_beside_another_member();
    process.loses_zone_records = true;
    declare(&mut process, 10, &["y"]);
    for sequence in 10..20 {
        process.check_in(1, sequence, granted.clone());
    }
    assert_eq!(process.agent.serving_units().len(), SHARDS as usize);
}

#[test]
fn a_zone_that_is_declared_in_again_keeps_its_units() {
    let (mut process, granted) = process_beside_another_member();
    process.loses_zone_records = true;
    declare(&mut process, 10, &[ZONE, "y"]);
    declare(&mut process, 11, &["y"]);
    let answer = process.check_in(1, 10, granted.clone());
    assert_eq!(answer.granted, granted);
}

/// Guards against two upstreams that hold the same units: a process that has just started forgot that its upstream may hold
/// grants of the former process.
#[test]
fn a_restarted_process_hands_over_no_unit_that_its_upstream_still_holds() {
    let (process, granted) = process_beside_another_member();
    let mut process = process.restart();
    declare(&mut process, 10, &[ZONE]);
    for sequence in 20..22 {
        process.check_in(1, sequence, granted.clone());
        let fleet = process.agent.fleet();
        let moved = fleet.units_of("vm-2").count();
        assert_eq!(moved, 0, "at check-in {sequence}");
    }
    process.check_in(1, 22, Vec::new());
    assert_eq!(process.agent.fleet().units_of("vm-1").count(), 0);
}

/// Guards against two upstreams that hold the same units: a check-in without a list of the units that the upstream holds counted
/// as one that reports none.
#[test]
fn a_check_in_that_does_not_list_the_held_units_releases_none() {
    let (mut process, granted) = process_beside_another_member();
    declare(&mut process, 10, &[ZONE]);
    process.check_in(1, 10, granted);
    let announcement = process.announcement(1);
    process.check_in_as(announcement, 11, None);
    assert_eq!(process.agent.fleet().units_of("vm-2").count(), 0);
    process.check_in(1, 12, Vec::new());
    assert_eq!(process.agent.fleet().units_of("vm-1").count(), 0);
}
