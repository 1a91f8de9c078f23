//! The state with which a generation of the log begins after a restore.

mod support;

use cluster::Body;
use cluster::Fleet;
use cluster::Outcome;
use cluster::SnapshotReader;
use ids::first_offset;
use ids::generation_of;
use support::Log;
use support::join;
use support::vm;

/// Generation after the first restore.
const GENERATION: u64 = 1;

/// Returns a log with three members and a move.
fn log() -> Log {
    let mut log = Log::with_members(8, &["a", "b", "c"]);
    log.move_all(&vm(0), &vm(1));
    log
}

/// Writes a state to a log as snapshots are, and restores it.
fn write_and_read(fleet: &Fleet) -> Fleet {
    let mut log = Log::default();
    for body in fleet.snapshot_bodies() {
        log.append(body);
    }
    let mut reader = SnapshotReader::default();
    let mut found = (1..)
        .zip(&log.records)
        .filter_map(|(offset, text)| reader.add(offset, text).unwrap());
    found.next().expect("the snapshot is complete")
}

#[test]
fn owners_configuration_and_members_hold_in_the_next_generation() {
    let before = log().fleet;
    let after = write_and_read(&before.continued_in(GENERATION));
    assert_eq!(after.next_offset(), first_offset(GENERATION));
    assert_eq!(after.owners(), before.owners());
    assert_eq!(after.members(), before.members());
    assert_eq!(after.plans(), before.plans());
    assert_eq!(after.workspaces(), before.workspaces());
}

#[test]
fn fences_of_the_next_generation_are_above_all_earlier_ones() {
    let log = log();
    let mut fleet = log.fleet.continued_in(GENERATION);
    let record = log.record("rejoin", join(1, "b"));
    fleet.apply(fleet.next_offset(), &record);
    let fences: Vec<u64> = fleet
        .units_of(&vm(1))
        .map(|(_, owner)| owner.fence)
        .collect();
    assert!(!fences.is_empty());
    assert!(
        fences
            .iter()
            .all(|fence| generation_of(*fence) == GENERATION)
    );
}

#[test]
fn a_record_that_was_applied_before_the_restore_has_no_effect_after_it() {
    let log = log();
    let mut fleet = write_and_read(&log.fleet.continued_in(GENERATION));
    let owners = fleet.owners().clone();
    for record in &log.records {
        let outcome = fleet.apply(fleet.next_offset(), record);
        assert_eq!(outcome, Outcome::Repeated);
    }
    assert_eq!(fleet.owners(), &owners);
    assert!(matches!(
        fleet.apply(fleet.next_offset(), &log.record("new", leave(&log))),
        Outcome::Applied(_)
    ));
}

fn leave(log: &Log) -> Body {
    Body::Leave {
        vm: vm(2),
        incarnation: log.incarnation(&vm(2)),
    }
}
