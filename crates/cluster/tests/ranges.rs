//! Ranges of numeric keys: manifests, assignment to alternating owners, and members that rejoin.

mod support;

use std::collections::BTreeMap;

use cluster::Body;
use cluster::Document;
use cluster::Outcome;
use config::Manifest;
use config::Plans;
use config::Service;
use config::Workspaces;
use ids::Unit;

use crate::support::Log;
use crate::support::join;
use crate::support::vm;

const SHARDS: u32 = 256;

fn manifest(revision: u64) -> Body {
    let service = Service {
        numeric_keys: Some(65_536),
        shards: SHARDS,
        ..Service::default()
    };
    let manifest = Manifest {
        plans: Plans {
            hosts: [("app.example".to_owned(), Vec::new())].into(),
            services: [("ordering".to_owned(), service)].into(),
            ..Plans::default()
        },
        revision,
        workspaces: Workspaces::default(),
    };
    Body::Publish {
        base: 0,
        document: Document::Manifest(Box::new(manifest)),
    }
}

fn log_with(members: usize) -> Log {
    let mut log = Log::default();
    for index in 0..members {
        log.append(join(index, ["za", "zb", "zc"][index % 3]));
    }
    log.append_applied(manifest(3));
    log
}

fn owner(log: &Log, index: u32) -> String {
    let unit = Unit::Shard {
        service: "ordering".to_owned(),
        index,
    };
    log.fleet.owner(&unit).unwrap().vm.clone()
}

#[test]
fn neighbouring_ranges_alternate_between_owners_with_equal_shares() {
    let log = log_with(4);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for index in 0..SHARDS {
        *counts.entry(owner(&log, index)).or_default() += 1;
        if index > 0 {
            assert_ne!(owner(&log, index), owner(&log, index - 1));
        }
    }
    assert!(
        counts.values().all(|count| *count == SHARDS / 4),
        "{counts:?}"
    );
}

#[test]
fn a_key_is_in_the_range_of_its_number() {
    let log = log_with(1);
    let unit = log.fleet.unit_of(&"ordering".to_owned(), "256").unwrap();
    assert_eq!(unit.to_string(), "shard:ordering:1");
    assert_eq!(log.fleet.unit_of(&"ordering".to_owned(), "65536"), None);
    assert_eq!(log.fleet.unit_of(&"ordering".to_owned(), "shop"), None);
}

#[test]
fn a_revision_never_decreases() {
    let mut log = log_with(1);
    for revision in [3, 2, 0] {
        assert!(matches!(
            log.append(manifest(revision)),
            Outcome::Rejected(_)
        ));
    }
    assert_eq!(log.fleet.revision(), 3);
    log.append_applied(manifest(9));
    assert_eq!(log.fleet.revision(), 9);
    assert_eq!(log.refold().revision(), 9);
}

#[test]
fn a_rejoining_member_keeps_its_ranges_under_a_higher_fence() {
    let mut log = log_with(3);
    let before: Vec<_> = log
        .fleet
        .units_of(&vm(0))
        .map(|(unit, owner)| (unit.clone(), owner.fence))
        .collect();
    assert!(!before.is_empty());
    log.append(join(0, "za"));
    let incarnation = log.incarnation(&vm(0));
    for (unit, fence) in before {
        let owner = log.fleet.owner(&unit).unwrap();
        assert_eq!(owner.vm, vm(0));
        assert_eq!(owner.incarnation, incarnation);
        assert!(owner.fence > fence);
    }
}

#[test]
fn a_new_owner_waits_for_the_lease_length_that_the_lost_member_stated() {
    let mut waits = Vec::new();
    for lease_ms in [2_000, 3_500] {
        let mut log = Log::default();
        for index in 0..3 {
            let Body::Join(mut join) = join(index, ["za", "zb", "zc"][index]) else {
                panic!("not a join");
            };
            join.lease_ms = lease_ms;
            log.append(Body::Join(join));
        }
        log.replace_all_witnesses();
        log.append_applied(manifest(1));
        log.suspect(&vm(1), &vm(0), 1_000);
        log.suspect(&vm(2), &vm(0), 1_000);
        assert!(!log.fleet.members().contains_key(&vm(0)));
        waits.push(log.fleet.owners().values().map(|owner| owner.wait_ms).max());
    }
    assert_eq!(waits, [Some(1_050), Some(2_600)]);
}

#[test]
fn a_member_that_has_read_fewer_declarations_returns_no_zone() {
    let mut log = log_with(3);
    let zone = |log: &Log, out, position| Body::Zone {
        base: log.fleet.zone_version("za"),
        out,
        position,
        zone: "za".to_owned(),
    };
    log.append_applied(zone(&log, true, 40));
    let stale = zone(&log, false, 30);
    assert!(matches!(log.append(stale), Outcome::Rejected(_)));
    assert!(log.fleet.is_zone_out("za"));

    log.append_applied(zone(&log, false, 41));
    assert!(!log.fleet.is_zone_out("za"));
}
