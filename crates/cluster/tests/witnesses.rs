//! Witnesses, suspicions, and how long new owners wait.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cluster::Body;
use cluster::DRIFT_MARGIN;
use cluster::Join;
use cluster::LEASE;
use cluster::Outcome;
use cluster::Quorum;
use cluster::UnitFence;
use ids::Unit;
use support::Log;
use support::join;
use support::vm;

/// Time that a new owner waits for one whole lease to expire, in milliseconds.
fn one_lease_ms() -> u64 {
    (LEASE + DRIFT_MARGIN).as_millis() as u64
}

/// Returns a log of 12 members in 3 zones that have all the witnesses they need.
fn log_with_witnesses() -> Log {
    let zones: Vec<&str> = ["a", "b", "c"].into_iter().cycle().take(12).collect();
    let mut log = Log::with_members(16, &zones);
    log.replace_all_witnesses();
    log
}

fn witnesses(log: &Log, vm: &str) -> Vec<String> {
    log.fleet.members()[vm].witnesses.iter().cloned().collect()
}

fn waits(log: &Log) -> BTreeSet<u64> {
    log.fleet
        .owners()
        .values()
        .map(|owner| owner.wait_ms)
        .collect()
}

/// Moves all units to one member.
fn move_all_to(log: &mut Log, new_owner: &str) {
    let members: Vec<String> = log.fleet.members().keys().cloned().collect();
    for member in members.iter().filter(|member| *member != new_owner) {
        log.move_all(member, new_owner);
    }
}

fn suspect_until_lost(log: &mut Log, member: &str, ago_ms: u64) {
    let witnesses = witnesses(log, member);
    for witness in witnesses
        .iter()
        .take(Quorum::of(witnesses.len()).suspicions)
    {
        log.suspect(witness, member, ago_ms);
    }
    assert!(!log.fleet.members().contains_key(member));
}

#[test]
fn only_the_current_incarnation_of_a_witness_counts() {
    let mut log = log_with_witnesses();
    let named = witnesses(&log, "vm-000");
    let non_witness = (1..12)
        .map(vm)
        .find(|other| !named.contains(other))
        .expect("5 of 11 are witnesses");
    assert!(matches!(
        log.suspect(&non_witness, "vm-000", 0),
        Outcome::Rejected(_)
    ));
    assert!(matches!(
        log.suspect("vm-000", "vm-000", 0),
        Outcome::Rejected(_)
    ));
    let witness = &named[0];
    let index = witness.trim_start_matches("vm-").parse().expect("an index");
    let zone = log.fleet.members()[witness].join.zone.clone();
    log.append_applied(join(index, &zone));
    assert!(
        !log.fleet
            .is_witness(witness, log.incarnation(witness), "vm-000")
    );
    assert!(matches!(
        log.suspect(witness, "vm-000", 0),
        Outcome::Rejected(_)
    ));
    assert!(log.fleet.needs_rewitness(&vm(0)));
}

#[test]
fn a_member_is_lost_with_the_record_that_completes_the_majority() {
    let mut log = log_with_witnesses();
    move_all_to(&mut log, "vm-000");
    let base = log.fleet.members()["vm-000"].witnesses_since;
    let named = witnesses(&log, "vm-000");
    log.suspect(&named[0], "vm-000", 1_900);
    log.suspect(&named[0], "vm-000", 100);
    log.suspect(&named[1], "vm-000", 2_500);
    assert!(log.fleet.members().contains_key("vm-000"));
    let outcome = log.suspect(&named[2], "vm-000", 1_800);
    assert!(matches!(outcome, Outcome::Applied(_)));
    assert!(!log.fleet.members().contains_key("vm-000"));
    assert_eq!(waits(&log), [one_lease_ms() - 1_800].into());
    let rewitness = Body::Rewitness {
        vm: vm(0),
        incarnation: 3,
        base,
    };
    assert!(matches!(log.append(rewitness), Outcome::Rejected(_)));
}

#[test]
fn a_loss_needs_majorities_of_both_witness_sets_until_the_replacement_is_confirmed() {
    let mut log = log_with_witnesses();
    let member = "vm-000";
    let former = witnesses(&log, member);
    log.suspect(&former[0], member, 2_000);
    assert!(log.fleet.needs_rewitness(&vm(0)));
    let old_base = log.fleet.members()[member].witnesses_since;
    assert!(matches!(log.rewitness(member), Outcome::Applied(_)));
    let stale = Body::Rewitness {
        vm: vm(0),
        incarnation: log.incarnation(member),
        base: old_base,
    };
    assert!(matches!(log.append(stale), Outcome::Rejected(_)));
    let present = witnesses(&log, member);
    assert!(
        !present.contains(&former[0]),
        "a suspecting witness is not named again"
    );
    let only_former: Vec<&String> = former.iter().filter(|vm| !present.contains(vm)).collect();
    assert!(
        log.fleet
            .is_witness(only_former[0], log.incarnation(only_former[0]), member)
    );
    for witness in &present {
        let suspicions = former.iter().filter(|vm| present.contains(vm)).count();
        if suspicions < 3 || !former.contains(witness) {
            log.suspect(witness, member, 2_000);
        }
    }
    assert!(
        log.fleet.members().contains_key(member),
        "the former set can still renew"
    );
    log.rewitness(member);
    assert!(
        !log.fleet
            .is_witness(only_former[0], log.incarnation(only_former[0]), member)
    );
}

#[test]
fn evidence_from_a_lost_witness_makes_the_new_owner_wait_two_leases() {
    let mut log = log_with_witnesses();
    move_all_to(&mut log, "vm-000");
    let named = witnesses(&log, "vm-000");
    let independent = |pair: &&[String]| !witnesses(&log, &pair[1]).contains(&pair[0]);
    let pair = named.windows(2).find(independent).expect("a pair").to_vec();
    let third = named.iter().find(|vm| !pair.contains(vm));
    suspect_until_lost(&mut log, &pair[0], 0);
    suspect_until_lost(&mut log, &pair[1], 0);
    assert!(log.fleet.members().contains_key("vm-000"));
    log.suspect(third.expect("5 witnesses"), "vm-000", 2_000);
    assert!(!log.fleet.members().contains_key("vm-000"));
    assert_eq!(waits(&log), [2 * one_lease_ms()].into());
}

#[test]
fn a_witness_lost_by_evidence_from_lost_witnesses_gives_no_evidence() {
    let mut log = log_with_witnesses();
    let (member, witness) = loosely_connected_pair(&log);
    let helpers = witnesses(&log, &witness);
    let helper = helpers.iter().find(|helper| **helper != member);
    suspect_until_lost(&mut log, helper.expect("5 witnesses"), 2_000);
    let rest: Vec<&String> = helpers
        .iter()
        .filter(|vm| log.fleet.members().contains_key(*vm) && **vm != member)
        .collect();
    log.suspect(rest[0], &witness, 2_000);
    log.suspect(rest[1], &witness, 2_000);
    assert!(!log.fleet.members().contains_key(&witness));
    let suspicions = witnesses(&log, &member);
    let direct: Vec<&String> = suspicions
        .iter()
        .filter(|vm| log.fleet.members().contains_key(*vm))
        .collect();
    log.suspect(direct[0], &member, 2_000);
    log.suspect(direct[1], &member, 2_000);
    assert!(log.fleet.members().contains_key(&member));
    log.suspect(direct[2], &member, 2_000);
    assert!(!log.fleet.members().contains_key(&member));
}

/// Returns a member and one of its witnesses that have at most one witness in common.
fn loosely_connected_pair(log: &Log) -> (String, String) {
    for (vm, member) in log.fleet.members() {
        for witness in &member.witnesses {
            let helpers = &log.fleet.members()[witness].witnesses;
            if helpers.intersection(&member.witnesses).count() <= 1 {
                return (vm.clone(), witness.clone());
            }
        }
    }
    panic!("no such pair among {:?}", log.fleet.members());
}

#[test]
fn graceful_stops_of_witnesses_alone_end_no_member() {
    let mut log = log_with_witnesses();
    for witness in witnesses(&log, "vm-000") {
        log.leave(&witness);
        assert!(log.fleet.members().contains_key("vm-000"));
    }
    assert!(log.fleet.needs_rewitness(&vm(0)));
}

#[test]
fn a_wait_is_kept_until_a_move_ends_it() {
    let mut log = log_with_witnesses();
    move_all_to(&mut log, "vm-000");
    suspect_until_lost(&mut log, "vm-000", 500);
    assert_eq!(waits(&log), [one_lease_ms() - 500].into());
    let members: Vec<String> = log.fleet.members().keys().cloned().collect();
    for (index, member) in members.iter().enumerate() {
        if index % 2 == 0 {
            log.leave(member);
        } else {
            log.append(Body::DeclareLost {
                vm: member.clone(),
                incarnation: log.incarnation(member),
            });
        }
    }
    assert!(log.fleet.owners().is_empty());
    log.append_applied(join(20, "a"));
    let (kept, longer) = (one_lease_ms() - 500, one_lease_ms());
    assert_eq!(waits(&log), [kept, longer].into());
    log.append_applied(join(21, "b"));
    log.move_all("vm-020", "vm-021");
    assert_eq!(waits(&log), [0].into());
}

#[test]
fn a_shard_takes_over_the_wait_of_an_unpinned_key() {
    let mut log = Log::with_members(1, &["a", "b"]);
    let (service, key) = ("ordering".to_owned(), "hot".to_owned());
    let shard = log.fleet.unit_of(&service, &key).expect("a keyed service");
    log.append_applied(Body::Pin {
        vm: vm(0),
        incarnation: 3,
        service: service.clone(),
        key: key.clone(),
    });
    let unit = log.fleet.unit_of(&service, &key).expect("a keyed service");
    let fence = log.fleet.owner(&unit).expect("an owner").fence;
    log.append_applied(Body::Move {
        handovers: BTreeMap::new(),
        from: vm(0),
        incarnation: 3,
        to: vm(1),
        to_incarnation: 4,
        units: vec![UnitFence { fence, unit }],
    });
    log.append_applied(Body::DeclareLost {
        vm: vm(1),
        incarnation: 4,
    });
    assert_eq!(log.fleet.owner(&shard).map(|owner| owner.wait_ms), Some(0));
    log.append_applied(Body::Unpin {
        vm: vm(0),
        incarnation: 3,
        service,
        key,
    });
    let owner = log.fleet.owner(&shard).expect("an owner");
    assert_eq!(
        (owner.wait_ms, owner.fence + 1),
        (one_lease_ms(), log.fleet.next_offset())
    );
}

/// Returns the waits of the units that `vm` owns and does not own any more after a record, by unit.
fn waits_after(log: &mut Log, vm: &str, body: Body) -> BTreeMap<Unit, u64> {
    let before: Vec<Unit> = log
        .fleet
        .units_of(vm)
        .map(|(unit, _)| unit.clone())
        .collect();
    log.append_applied(body);
    let waits = before.into_iter().filter_map(|unit| {
        let owner = log.fleet.owner(&unit)?;
        (owner.vm != vm).then_some((unit, owner.wait_ms))
    });
    waits.collect()
}

/// Guards against two upstreams that hold the same units: that of a replaced member may hold its grants until they expire.
#[test]
fn units_that_a_replaced_member_does_not_keep_wait_for_its_lease() {
    let join = |change: fn(&mut Join)| {
        let Body::Join(mut join) = join(0, "a") else {
            panic!("a join");
        };
        change(&mut join);
        Body::Join(join)
    };
    let replacements = [
        ("service", join(|join| join.service = "other".to_owned())),
        ("vm", join(|join| join.vm = vm(9))),
    ];
    for (changed, join) in replacements {
        let mut log = Log::with_members(16, &["a", "b", "c"]);
        let waits = waits_after(&mut log, &vm(0), join);
        assert!(!waits.is_empty(), "{changed}");
        let is_long = |wait_ms: &u64| *wait_ms == one_lease_ms();
        assert!(waits.values().all(is_long), "{changed}: {waits:?}");
    }
}

/// Guards against a pause of all keys of an upstream that has restarted.
#[test]
fn units_that_a_replaced_member_keeps_do_not_wait() {
    let mut log = Log::with_members(16, &["a", "b", "c"]);
    let waits = waits_after(&mut log, &vm(0), join(0, "a"));
    assert!(waits.is_empty());
    assert!(
        log.fleet
            .units_of(&vm(0))
            .all(|(_, owner)| owner.wait_ms == 0)
    );
}

#[test]
fn the_last_member_of_a_region_has_no_witnesses() {
    let mut log = Log::with_members(16, &["a", "b"]);
    log.replace_all_witnesses();
    assert_eq!(witnesses(&log, "vm-000"), ["vm-001"]);
    log.suspect("vm-000", "vm-001", 2_000);
    assert_eq!(log.fleet.members().len(), 1);
    assert!(witnesses(&log, "vm-000").is_empty());
    assert!(!log.fleet.needs_rewitness(&vm(0)));
}

#[test]
fn witnesses_survive_the_loss_of_a_zone_and_are_evenly_distributed() {
    // With three zones, the two other zones have two witnesses each. With four, the three other
    // zones have five witnesses in total.
    for (zones, count) in [(["a", "b", "c"].as_slice(), 4), (&["a", "b", "c", "d"], 5)] {
        let cycle: Vec<&str> = zones.iter().copied().cycle().take(120).collect();
        let mut log = Log::with_members(16, &cycle);
        log.replace_all_witnesses();
        let members = log.fleet.members();
        let mut watched: BTreeMap<&String, usize> = BTreeMap::new();
        for member in members.values() {
            assert_eq!(member.witnesses.len(), count);
            for zone in zones {
                let inside = member
                    .witnesses
                    .iter()
                    .filter(|vm| members[*vm].join.zone == *zone);
                let most = if *zone == member.join.zone { 0 } else { 2 };
                assert!(inside.count() <= most);
            }
            for witness in &member.witnesses {
                *watched.entry(witness).or_default() += 1;
            }
        }
        assert!(watched.values().all(|count| *count <= 10), "{watched:?}");
    }
}
