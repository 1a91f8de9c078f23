//! Balance and churn of planned moves.

mod support;

use std::collections::BTreeMap;

use cluster::Body;
use cluster::LoadView;
use cluster::Member;
use cluster::UnitFence;
use cluster::plan_moves;
use cluster::plan_pins;
use cluster::plan_unpins;
use cluster::rendezvous_owner;
use ids::Unit;
use support::Log;
use support::join;
use support::vm;

const MAX_IMBALANCE: f64 = 1.25;

const MAX_CHURN: f64 = 1.2;

const ROUNDS: usize = 40;

/// Loads by unit. An empty map weights all units equally.
type Loads = BTreeMap<Unit, f64>;

fn is_keyed(unit: &Unit) -> bool {
    !matches!(unit, Unit::Bucket { .. })
}

fn load_of(log: &Log, vm: &str, loads: &Loads) -> f64 {
    let units = log.fleet.units_of(vm).map(|(unit, _)| unit);
    units
        .filter(|unit| is_keyed(unit))
        .map(|unit| {
            loads
                .get(unit)
                .copied()
                .unwrap_or(f64::from(loads.is_empty()))
        })
        .sum()
}

fn member_loads(log: &Log, loads: &Loads) -> BTreeMap<String, f64> {
    let members = log.fleet.members().keys();
    members
        .map(|vm| (vm.clone(), load_of(log, vm, loads)))
        .collect()
}

fn imbalance(loads: impl IntoIterator<Item = f64>) -> f64 {
    let loads: Vec<f64> = loads.into_iter().collect();
    let mean = loads.iter().sum::<f64>() / loads.len() as f64;
    loads.into_iter().fold(0.0, f64::max) / mean
}

/// Returns the loads that a member knows, with `stale_loads` as the loads of the other members.
fn view(
    log: &Log,
    me: &str,
    loads: &Loads,
    stale_loads: &BTreeMap<String, f64>,
    budget: usize,
) -> LoadView {
    let own = log.fleet.units_of(me).filter(|(unit, _)| is_keyed(unit));
    let mut view = LoadView {
        budget,
        ..LoadView::default()
    };
    if !loads.is_empty() {
        view.unit_loads = own
            .map(|(unit, _)| (unit.clone(), loads.get(unit).copied().unwrap_or(0.0)))
            .collect();
        view.peer_loads = stale_loads.clone();
    }
    view
}

fn move_body(log: &Log, from: &str, to: &str, units: &[Unit]) -> Body {
    let units = units.iter().map(|unit| UnitFence {
        fence: log.fleet.owner(unit).expect("the unit is owned").fence,
        unit: unit.clone(),
    });
    Body::Move {
        handovers: BTreeMap::new(),
        from: from.to_owned(),
        incarnation: log.incarnation(from),
        to: to.to_owned(),
        to_incarnation: log.incarnation(to),
        units: units.collect(),
    }
}

/// Lets all members plan on the same state, round by round, until no unit is moved.
///
/// Returns the number of units moved. The loads that members know of others are one round old.
fn move_until_balanced(log: &mut Log, loads: &Loads, budget: usize) -> usize {
    let mut moved = 0;
    let mut stale_loads = member_loads(log, loads);
    for _ in 0..ROUNDS {
        let mut bodies = Vec::new();
        for me in log.fleet.members().keys() {
            let moves = plan_moves(&log.fleet, me, &view(log, me, loads, &stale_loads, budget));
            let units = |moves: &[(String, Vec<Unit>)]| -> usize {
                moves.iter().map(|(_, units)| units.len()).sum()
            };
            assert!(units(&moves) <= budget);
            moved += units(&moves);
            bodies.extend(
                moves
                    .iter()
                    .map(|(to, units)| move_body(log, me, to, units)),
            );
        }
        stale_loads = member_loads(log, loads);
        if bodies.is_empty() {
            return moved;
        }
        for body in bodies {
            log.append_applied(body);
        }
    }
    panic!("still moving after {ROUNDS} rounds");
}

fn balanced_log(members: usize, shards: u32) -> Log {
    let zones: Vec<&str> = ["a", "b", "c"].into_iter().cycle().take(members).collect();
    let mut log = Log::with_members(shards, &zones);
    move_until_balanced(&mut log, &Loads::new(), 10_000);
    log
}

#[test]
fn a_joining_member_receives_its_share_and_little_more() {
    for (members, shards) in [(2, 64), (5, 1_024), (11, 1_024), (60, 4_096)] {
        for budget in [10, 10_000] {
            let mut log = balanced_log(members, shards);
            log.append_applied(join(members, "a"));
            let moved = move_until_balanced(&mut log, &Loads::new(), budget) as f64;
            let share = f64::from(shards) / (members + 1) as f64;
            let after = imbalance(member_loads(&log, &Loads::new()).into_values());
            assert!(after <= MAX_IMBALANCE, "{members} members: {after}");
            assert!(log.fleet.unit_count(&vm(members)) > 0);
            let buckets = 4.0;
            assert!(
                moved <= share * MAX_CHURN + buckets,
                "{members} members: {moved}"
            );
        }
    }
}

#[test]
fn a_loss_moves_little_more_than_the_lost_units() {
    for (members, shards) in [(3, 64), (6, 1_024), (12, 1_024), (60, 4_096)] {
        let mut log = balanced_log(members, shards);
        let lost = load_of(&log, "vm-001", &Loads::new());
        log.leave("vm-001");
        let moved = move_until_balanced(&mut log, &Loads::new(), 10_000) as f64;
        let after = imbalance(member_loads(&log, &Loads::new()).into_values());
        assert!(after <= MAX_IMBALANCE, "{members} members: {after}");
        assert!(
            (lost + moved) / lost <= MAX_CHURN,
            "{members} members: {moved} of {lost}"
        );
    }
}

/// Returns loads of shards, some of them many times higher than others.
fn skewed_loads(shards: u32) -> Loads {
    let shard = |index| Unit::Shard {
        service: "ordering".to_owned(),
        index,
    };
    let load = |index: u32| 100.0 / f64::from(10 + index * 7 % shards);
    (0..shards)
        .map(|index| (shard(index), load(index)))
        .collect()
}

#[test]
fn skewed_loads_are_balanced_better_than_by_rendezvous_hashing() {
    for members in [4, 6, 11, 30] {
        let mut loads = skewed_loads(1_024);
        let mut log = balanced_log(members, 1_024);
        move_until_balanced(&mut log, &loads, 50);
        let after = imbalance(member_loads(&log, &loads).into_values());
        assert!(after <= MAX_IMBALANCE, "{members} members: {after}");
        for (unit, load) in &mut loads {
            let owner = &log.fleet.owner(unit).expect("an owner").vm;
            *load *= if owner.ends_with('1') { 1.03 } else { 1.0 };
        }
        assert_eq!(
            move_until_balanced(&mut log, &loads, 50),
            0,
            "small changes of load move nothing"
        );
        let all_members: Vec<&Member> = log.fleet.members().values().collect();
        let mut plain: BTreeMap<&String, f64> = BTreeMap::new();
        for (unit, load) in &loads {
            *plain
                .entry(rendezvous_owner(unit, &all_members).expect("members"))
                .or_default() += load;
        }
        let plain = imbalance(plain.into_values());
        assert!(plain > after, "{members} members: {plain} against {after}");
    }
}

#[test]
fn units_are_weighted_equally_until_the_loads_of_all_others_are_known() {
    let mut log = balanced_log(5, 1_024);
    log.append_applied(join(5, "a"));
    let loads: Loads = skewed_loads(1_024).into_iter().take(40).collect();
    let mut stale_loads = member_loads(&log, &loads);
    let plan = |loads: &Loads, stale_loads: &BTreeMap<String, f64>| {
        let view = view(&log, "vm-000", loads, stale_loads, 1_000);
        plan_moves(&log.fleet, &vm(0), &view)
    };
    let by_counts = plan(&Loads::new(), &stale_loads);
    assert_ne!(plan(&loads, &stale_loads), by_counts);
    stale_loads.remove("vm-005");
    assert_eq!(plan(&loads, &stale_loads), by_counts);
}

#[test]
fn a_hot_key_is_isolated_on_its_owner_until_its_load_drops() {
    let mut log = balanced_log(6, 256);
    let service = "ordering".to_owned();
    let mut loads: Loads = log
        .fleet
        .owners()
        .keys()
        .cloned()
        .map(|unit| (unit, 1.0))
        .collect();
    let shard = log.fleet.unit_of(&service, "hot").expect("a keyed service");
    let owner = log.fleet.owner(&shard).expect("an owner").vm.clone();
    loads.insert(shard.clone(), 150.0);
    let stale_loads = member_loads(&log, &loads);
    let keys = [("hot".to_owned(), 149.0), ("cool".to_owned(), 1.0)].into();
    let pins = plan_pins(
        &log.fleet,
        &owner,
        &view(&log, &owner, &loads, &stale_loads, 10),
        &keys,
    );
    let pin = Unit::Pinned {
        service: service.clone(),
        key: "hot".to_owned(),
    };
    assert_eq!(pins, std::slice::from_ref(&pin));
    log.append_applied(Body::Pin {
        incarnation: log.incarnation(&owner),
        key: "hot".to_owned(),
        service: service.clone(),
        vm: owner.clone(),
    });
    loads.insert(shard, 1.0);
    loads.insert(pin.clone(), 149.0);
    let owned_before = log.fleet.unit_count(&owner) as f64;
    let moved = move_until_balanced(&mut log, &loads, 20) as f64;
    assert!(
        moved <= MAX_CHURN * owned_before,
        "{moved} of {owned_before}"
    );
    let held: Vec<&Unit> = log.fleet.units_of(&owner).map(|(unit, _)| unit).collect();
    assert!(
        held.iter().all(|unit| **unit == pin || !is_keyed(unit)),
        "{held:?}"
    );
    let others = member_loads(&log, &loads)
        .into_iter()
        .filter(|(vm, _)| *vm != owner);
    assert!(imbalance(others.map(|(_, load)| load)) <= MAX_IMBALANCE);

    loads.insert(pin.clone(), 1.0);
    move_until_balanced(&mut log, &loads, 20);
    let pin_owner = log.fleet.owner(&pin).expect("an owner").vm.clone();
    let stale_loads = member_loads(&log, &loads);
    let unpins = plan_unpins(
        &log.fleet,
        &pin_owner,
        &view(&log, &pin_owner, &loads, &stale_loads, 10),
    );
    assert_eq!(unpins, [pin]);
    assert!(imbalance(stale_loads.into_values()) <= MAX_IMBALANCE);
}

#[test]
fn a_pinned_key_is_not_unpinned_until_its_load_is_known() {
    let mut log = balanced_log(6, 256);
    let owners = log.fleet.owners().keys().cloned();
    let loads: Loads = owners.map(|unit| (unit, 1.0)).collect();
    let service = "ordering".to_owned();
    let shard = log.fleet.unit_of(&service, "hot").expect("a keyed service");
    let owner = log.fleet.owner(&shard).expect("an owner").vm.clone();
    let measured_before = view(&log, &owner, &loads, &member_loads(&log, &loads), 10);
    log.append_applied(Body::Pin {
        incarnation: log.incarnation(&owner),
        key: "hot".to_owned(),
        service: service.clone(),
        vm: owner.clone(),
    });
    assert_eq!(plan_unpins(&log.fleet, &owner, &measured_before), []);
    let measured_after = view(&log, &owner, &loads, &member_loads(&log, &loads), 10);
    let pin = Unit::Pinned {
        service,
        key: "hot".to_owned(),
    };
    assert_eq!(plan_unpins(&log.fleet, &owner, &measured_after), [pin]);
}

#[test]
fn a_leaving_member_moves_all_its_units() {
    let mut log = balanced_log(6, 256);
    let stopping = LoadView {
        budget: 10_000,
        stopping: true,
        ..LoadView::default()
    };
    for (to, units) in plan_moves(&log.fleet, &vm(0), &stopping) {
        log.append_applied(move_body(&log, "vm-000", &to, &units));
    }
    assert_eq!(log.fleet.unit_count("vm-000"), 0);
    log.append_applied(Body::Upstream {
        vm: vm(1),
        drained: true,
        base: 0,
    });
    log.append_applied(Body::Zone {
        zone: "c".to_owned(),
        out: true,
        base: 0,
        position: 0,
    });
    move_until_balanced(&mut log, &Loads::new(), 30);
    for gone in [1, 2, 5] {
        assert_eq!(log.fleet.unit_count(&vm(gone)), 0);
    }
    assert!(
        imbalance([0, 3, 4].map(|index| load_of(&log, &vm(index), &Loads::new()))) <= MAX_IMBALANCE
    );
}

#[test]
fn a_sole_owner_of_all_ranges_moves_the_shares_of_joined_members_at_once() {
    let mut log = Log::with_members(256, &["a"]);
    for (index, zone) in [(1, "b"), (2, "c"), (3, "a")] {
        log.append_applied(join(index, zone));
    }
    let polled_view = |log: &Log| LoadView {
        max_shards: Some(165),
        ..view(log, "vm-000", &Loads::new(), &BTreeMap::new(), 32)
    };
    let moves = plan_moves(&log.fleet, &vm(0), &polled_view(&log));
    let counts: Vec<_> = moves.iter().map(|(_, units)| units.len()).collect();
    assert_eq!(counts, [64, 64, 64]);
    for (to, units) in &moves[..2] {
        log.append_applied(move_body(&log, "vm-000", to, units));
    }
    let moves = plan_moves(&log.fleet, &vm(0), &polled_view(&log));
    let counts: Vec<_> = moves.iter().map(|(_, units)| units.len()).collect();
    assert_eq!(counts, [64], "128 units are still far over a share of 64");
    let (to, units) = &moves[0];
    log.append_applied(move_body(&log, "vm-000", to, &units[..20]));
    let moves = plan_moves(&log.fleet, &vm(0), &polled_view(&log));
    let counts: Vec<_> = moves.iter().map(|(_, units)| units.len()).collect();
    assert_eq!(
        counts,
        [32],
        "no member is nearly empty, so the budget applies"
    );
}

#[test]
fn an_upstream_that_limits_its_rate_keeps_units_in_proportion_to_what_is_left_of_its_capacity() {
    let mut log = balanced_log(4, 256);
    let loads: Loads = log
        .fleet
        .owners()
        .keys()
        .map(|unit| (unit.clone(), 1.0))
        .collect();
    let slots = f64::from(log.fleet.members()["vm-000"].join.slots);
    let mut counts = Vec::new();
    for capacities in [
        vec![slots / 9.0, slots],
        vec![0.0, slots / 2.0],
        vec![slots, slots],
    ] {
        let capacities: BTreeMap<_, _> = (0..).map(vm).zip(capacities).collect();
        for _ in 0..ROUNDS {
            let peers = member_loads(&log, &loads);
            for me in log.fleet.members().keys().cloned().collect::<Vec<_>>() {
                let view = LoadView {
                    capacities: capacities.clone(),
                    ..view(&log, &me, &loads, &peers, 32)
                };
                let moves = plan_moves(&log.fleet, &me, &view);
                let bodies: Vec<_> = moves
                    .iter()
                    .map(|(to, units)| move_body(&log, &me, to, units))
                    .collect();
                for body in bodies {
                    log.append_applied(body);
                }
            }
        }
        counts.push([0, 1, 2, 3].map(|index| log.fleet.unit_count(&vm(index))));
    }
    insta::assert_debug_snapshot!(counts);
}
