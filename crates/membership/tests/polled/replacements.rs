//! Replacements of the upstream by a later process.

use cluster::LEASE;
use membership::Announcement;
use membership::CheckInRejection;

use crate::process::Process;
use crate::process::SHARDS;

/// Returns the announcement of an instance at another address than that of the others.
fn at_another_address(process: &Process, instance: u64) -> Announcement {
    Announcement {
        address: "10.0.0.1:9001".parse().unwrap(),
        ..process.announcement(instance)
    }
}

/// Guards against two upstreams that hold the same units: one at another address does not show that the former has ended.
#[test]
fn an_upstream_at_another_address_is_accepted_once_the_grants_of_the_former_have_expired() {
    let mut process = Process::new();
    process.check_in_until_granted(1, 1);
    let until = process.agent.lease_until().unwrap();
    for sequence in 1.. {
        let answer = process.check_in_as(at_another_address(&process, 2), sequence, Vec::new());
        if answer.rejection.is_none() {
            break;
        }
        let expected = CheckInRejection::FormerHoldsGrants;
        assert_eq!(answer.rejection, Some(expected));
        assert!(process.now < until + 2 * LEASE, "never accepted");
    }
    assert!(process.now > until);
    let granted = process.check_in_as(at_another_address(&process, 2), 90, Vec::new());
    assert_eq!(granted.granted.len(), SHARDS as usize);
}

/// Guards against an upstream that loses its units to one that checks in once.
#[test]
fn an_upstream_that_renews_its_grants_is_not_replaced_by_one_at_another_address() {
    let mut process = Process::new();
    let granted = process.check_in_until_granted(1, 1);
    for sequence in 10..15 {
        let answer = process.check_in_as(at_another_address(&process, 2), sequence, Vec::new());
        assert_eq!((answer.granted.len(), answer.hold), (0, None));
        let answer = process.check_in(1, sequence, granted.clone());
        assert_eq!(answer.granted, granted);
    }
}
