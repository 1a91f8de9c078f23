//! Properties of the fold under writers that race, repeat appends and act on stale state.

mod support;

use cluster::Body;
use cluster::Fleet;
use cluster::Outcome;
use cluster::SnapshotReader;
use cluster::Suspicion;
use cluster::UnitFence;
use config::KeyHash;
use ids::Offset;
use ids::VmId;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use support::Log;
use support::join;
use support::plans_with;
use support::vm;
use support::workspaces;

const SEED: u64 = 4;

const MAX_STEPS: usize = 120;

const TEST_COUNT: u64 = 60;

/// Number of VMs in a generated log, some of which share an address.
const VM_COUNT: u64 = 9;

/// Number of steps after which the writers read the log again.
const STEPS_BETWEEN_READS: usize = 5;

fn check_property(property: fn(Vec<u64>) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(MAX_STEPS, SEED))
        .tests(TEST_COUNT)
        .quickcheck(property);
}

/// Writes a log in which each number selects the next action of some writer, and runs `check` after each.
fn write_log(steps: &[u64], check: impl Fn(&Fleet, &Log)) -> Log {
    let mut log = Log::with_members(8, &["a", "b"]);
    let mut seen = log.fleet.clone();
    for (count, step) in steps.iter().enumerate() {
        if count % STEPS_BETWEEN_READS == 0 {
            seen = log.fleet.clone();
        }
        let before = log.fleet.clone();
        let choice = step % 20;
        if choice == 0 {
            append_again(&mut log, step / 20);
        } else if let Some(body) = next_body(&seen, choice, step / 20) {
            log.append(body);
        }
        check(&before, &log);
    }
    log
}

/// Appends an earlier record again, as a writer does that lost the response to its append.
fn append_again(log: &mut Log, choice: u64) {
    let index = choice as usize % log.records.len();
    let record = log.records[index].clone();
    log.records.push(record.clone());
    let outcome = log.fleet.apply(log.records.len() as Offset, &record);
    assert_eq!(outcome, Outcome::Repeated);
}

fn next_body(seen: &Fleet, choice: u64, rest: u64) -> Option<Body> {
    let pick = |shift: u64| vm(((rest >> shift) % VM_COUNT) as usize);
    let zone = ["a", "b", "c"][(rest % 3) as usize];
    let member = |vm: &VmId| seen.members().get(vm);
    let subject = pick(8);
    Some(match choice {
        1..=3 => join((rest % VM_COUNT) as usize, zone),
        4 => Body::Leave {
            incarnation: member(&subject)?.incarnation,
            vm: subject,
        },
        5 => Body::DeclareLost {
            incarnation: member(&subject)?.incarnation,
            vm: subject,
        },
        6..=9 => suspect(seen, &pick(0), &subject, rest >> 16)?,
        10 | 11 => Body::Rewitness {
            incarnation: member(&subject)?.incarnation,
            base: member(&subject)?.witnesses_since,
            vm: subject,
        },
        12..=14 => move_units(seen, &pick(0), &subject, rest >> 16)?,
        15 => pin(seen, rest, true)?,
        16 => pin(seen, rest, false)?,
        17 => Body::Zone {
            base: seen.zone_version(zone),
            out: rest & 8 == 0,
            position: rest >> 4 & 3,
            zone: zone.to_owned(),
        },
        18 => change_configuration(seen, rest),
        _ => snapshot_part(seen, rest),
    })
}

fn suspect(seen: &Fleet, witness: &VmId, subject: &VmId, rest: u64) -> Option<Body> {
    Some(Body::Suspect {
        incarnation: seen.members().get(witness)?.incarnation,
        suspicions: vec![Suspicion {
            incarnation: seen.members().get(subject)?.incarnation,
            last_renewed_ago_ms: rest % 3_000,
            vm: subject.clone(),
        }],
        vm: witness.clone(),
    })
}

fn move_units(seen: &Fleet, from: &VmId, to: &VmId, rest: u64) -> Option<Body> {
    let units = seen
        .units_of(from)
        .filter(|(_, owner)| (rest >> (owner.fence % 8)) & 1 == 0);
    let units = units.map(|(unit, owner)| UnitFence {
        fence: owner.fence,
        unit: unit.clone(),
    });
    let units: Vec<_> = units.collect();
    let handed_over = units.iter().filter(|moved| moved.fence % 2 == 0);
    let handovers = handed_over.map(|moved| (moved.unit.clone(), format!("state-{rest}")));
    Some(Body::Move {
        handovers: handovers.collect(),
        from: from.clone(),
        incarnation: seen.members().get(from)?.incarnation,
        to: to.clone(),
        to_incarnation: seen.members().get(to)?.incarnation,
        units,
    })
}

fn pin(seen: &Fleet, rest: u64, pinned: bool) -> Option<Body> {
    let service = "ordering".to_owned();
    let key = format!("key-{}", rest % 4);
    let owner = seen.owner(&seen.unit_of(&service, &key)?)?;
    let (vm, incarnation) = (owner.vm.clone(), owner.incarnation);
    Some(if pinned {
        Body::Pin {
            vm,
            incarnation,
            service,
            key,
        }
    } else {
        Body::Unpin {
            vm,
            incarnation,
            service,
            key,
        }
    })
}

fn change_configuration(seen: &Fleet, rest: u64) -> Body {
    let hash = KeyHash::of(&format!("secret-{}", rest % 5));
    let workspace = "acme".to_owned();
    match (rest >> 8) % 6 {
        0 => plans_with(seen.plans_version(), 8),
        1 => workspaces(&["acme", "other"]),
        2 => Body::WithdrawKey { hash },
        3 => Body::IssueKey { workspace, hash },
        4 => Body::Upstream {
            base: seen.upstream_version(&vm(0)),
            drained: rest & 16 == 0,
            vm: vm(0),
        },
        _ => Body::Quarantine {
            alone: false,
            expires_unix_ms: 1_000 + rest % 1_000,
            fingerprint: format!("f{}", rest % 3),
            upstream_instance: format!("i{}", rest % 7),
            vm: vm(0),
            workspace,
        },
    }
}

fn snapshot_part(seen: &Fleet, rest: u64) -> Body {
    let mut bodies = seen.snapshot_bodies();
    bodies.swap_remove((rest % bodies.len() as u64) as usize)
}

#[test]
fn repeated_appends_change_nothing() {
    check_property(|steps| {
        let log = write_log(&steps, |_, _| {});
        let mut fleet = Fleet::default();
        let mut changed = Fleet::default();
        for (offset, record) in (1..).zip(&log.records) {
            let repeated = fleet.apply(offset, record) == Outcome::Repeated;
            let record = if repeated { &b"unreadable"[..] } else { record };
            changed.apply(offset, record);
        }
        fleet == log.fleet && changed == fleet
    });
}

#[test]
fn any_snapshot_with_the_later_records_restores_the_state() {
    check_property(|steps| {
        let log = write_log(&steps, |_, _| {});
        let mut fleet = Fleet::default();
        (1..).zip(&log.records).all(|(offset, record)| {
            fleet.apply(offset, record);
            let mut restored =
                Fleet::restore(&fleet.snapshot_parts()).expect("the snapshot is whole");
            let same = restored == fleet;
            log.apply_from(&mut restored, offset + 1);
            same && restored == log.fleet
        })
    });
}

#[test]
fn a_process_starts_from_the_snapshot_in_a_log_whose_start_has_expired() {
    let mut log = Log::with_members(1_024, &["a", "b", "c"]);
    for index in 0..3_000 {
        let hash = KeyHash::of(&format!("secret-{index}"));
        let workspace = "acme".to_owned();
        log.append_applied(Body::IssueKey { workspace, hash });
    }
    let first = log.records.len() as Offset + 1;
    let bodies = log.fleet.snapshot_bodies();
    assert!(bodies.len() > 1, "the snapshot has several parts");
    for body in bodies {
        log.append(join(7, "a"));
        log.append(body);
    }
    log.leave("vm-000");
    let mut reader = SnapshotReader::default();
    let mut records = (1..).zip(&log.records).skip(first as usize - 1);
    let mut fleet = records
        .find_map(|(offset, record)| reader.add(offset, record).expect("the snapshot is whole"))
        .expect("the log holds a snapshot");
    assert_eq!(fleet.next_offset(), first);
    log.apply_from(&mut fleet, first);
    assert_eq!(fleet, log.fleet);
    assert_eq!(fleet.snapshot_through(), first - 1);
    assert!(log.records.iter().all(|record| record.len() < 200_000));
}

#[test]
fn a_damaged_snapshot_is_refused() {
    let log = Log::with_members(16, &["a"]);
    let mut chunks = log.fleet.snapshot_parts();
    chunks[0] = chunks[0].replace("vm-000", "vm-001");
    let error = Fleet::restore(&chunks).expect_err("the checksum differs");
    insta::assert_snapshot!(error.to_string());
    assert!(Fleet::restore(&[]).is_err());
}

#[test]
fn every_record_keeps_the_invariants() {
    check_property(|steps| {
        write_log(&steps, check_invariants);
        true
    });
}

fn check_invariants(before: &Fleet, log: &Log) {
    let after = &log.fleet;
    assert!(after.config_version() >= before.config_version());
    for (unit, owner) in after.owners() {
        let member = &after.members()[&owner.vm];
        assert_eq!(
            member.incarnation, owner.incarnation,
            "{unit} is owned by the current incarnation"
        );
        assert!(!after.unowned_units().contains_key(unit), "{unit}");
        let former = before.owner(unit);
        if former.is_some_and(|former| former != owner) {
            assert_eq!(
                owner.fence + 1,
                after.next_offset(),
                "{unit} has a new fence"
            );
        }
    }
    let counts = after.members().keys().map(|vm| after.unit_count(vm));
    assert_eq!(counts.sum::<usize>(), after.owners().len());
    let removed = before.owners().keys().chain(before.unowned_units().keys());
    for unit in removed {
        let exists = after.owner(unit).is_some() || after.unowned_units().contains_key(unit);
        assert!(
            exists || unit.to_string().starts_with("pin:"),
            "{unit} exists"
        );
    }
}
