//! Loss of members that held their lease without witnesses, or whose witnesses are being replaced.

mod support;

use std::collections::BTreeSet;

use cluster::Change;
use cluster::DRIFT_MARGIN;
use cluster::LEASE;
use cluster::Outcome;
use support::Log;
use support::join;

/// Time that a new owner waits for one whole lease to expire, in milliseconds.
fn one_lease_ms() -> u64 {
    (LEASE + DRIFT_MARGIN).as_millis() as u64
}

fn ends_member(outcome: &Outcome, vm: &str) -> bool {
    let is_end =
        |change: &Change| matches!(change, Change::MemberEnded { vm: ended, .. } if ended == vm);
    matches!(outcome, Outcome::Applied(changes) if changes.iter().any(is_end))
}

fn waits(log: &Log) -> BTreeSet<u64> {
    let owners = log.fleet.owners().values();
    owners.map(|owner| owner.wait_ms).collect()
}

#[test]
fn a_member_can_be_lost_right_after_it_names_its_first_witnesses() {
    let mut log = Log::with_members(16, &["b", "a", "a"]);
    log.rewitness("vm-000");
    log.rewitness("vm-001");
    log.rewitness("vm-001");
    let first = log.suspect("vm-002", "vm-000", 2_041);
    assert!(!ends_member(&first, "vm-000"));
    let second = log.suspect("vm-001", "vm-000", 2_043);
    assert!(ends_member(&second, "vm-000"));
    assert_eq!(waits(&log), [one_lease_ms() - 2_041].into());
}

#[test]
fn a_member_can_be_lost_after_its_first_witness_was_lost_before_renewing() {
    let mut log = Log::with_members(16, &["a", "b"]);
    log.rewitness("vm-000");
    log.append_applied(join(2, "a"));
    log.rewitness("vm-001");
    log.suspect("vm-000", "vm-001", 2_038);
    let lost = log.suspect("vm-002", "vm-001", 2_043);
    assert!(ends_member(&lost, "vm-001"));
    assert!(log.fleet.needs_rewitness(&"vm-000".to_owned()));
    log.rewitness("vm-002");
    log.rewitness("vm-002");
    log.append_applied(join(1, "b"));
    // The first record releases the witness whose loss left the member without any that renews.
    log.rewitness("vm-000");
    log.rewitness("vm-000");
    let witness_count = log.fleet.members()["vm-000"].witnesses.len();
    assert_eq!(witness_count, 2);
    log.suspect("vm-001", "vm-000", 2_000);
    let lost = log.suspect("vm-002", "vm-000", 2_000);
    assert!(ends_member(&lost, "vm-000"));
}

#[test]
fn a_member_without_witnesses_is_never_suspected() {
    let mut log = Log::with_members(16, &["a", "b"]);
    let outcome = log.suspect("vm-001", "vm-000", 2_000);
    assert!(matches!(outcome, Outcome::Rejected(_)));
    log.leave("vm-001");
    assert!(log.fleet.members().contains_key("vm-000"));
}
