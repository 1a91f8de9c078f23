//! Properties of roll-outs in small fleets whose deciders, owners and operators race and act on stale state.

mod support;

use std::collections::BTreeMap;

use cluster::Body;
use cluster::Fleet;
use cluster::LoadView;
use cluster::Outcome;
use cluster::RolloutState;
use cluster::RolloutStep;
use cluster::UnitFence;
use cluster::VersionRole;
use cluster::plan_moves;
use ids::Unit;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use support::Log;
use support::join_with_version;
use support::ordered;
use support::plans;
use support::rolled_back;
use support::rollout;
use support::vm;
use support::workspaces;

const SEED: u64 = 7;

const MAX_STEPS: usize = 150;

const TEST_COUNT: u64 = 150;

const SHARDS: u32 = 64;

const SHARE: f64 = 0.08;

/// Number of steps after which the writers read the log again.
const STEPS_BETWEEN_READS: usize = 4;

const VM_COUNT: u64 = 7;

/// State of a roll-out and number of its ends, by the position of its order.
type Ends = BTreeMap<u64, (RolloutState, usize)>;

fn check_property(property: fn(Vec<u64>) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(MAX_STEPS, SEED))
        .tests(TEST_COUNT)
        .quickcheck(property);
}

/// Writes a log in which each number selects the next action of some writer, and runs `check` after each record.
fn write_log(steps: &[u64], mut check: impl FnMut(&Fleet, &Body, &Outcome, &Fleet)) -> Log {
    let mut log = Log::default();
    log.append(plans(SHARDS));
    log.append(workspaces(&["acme"]));
    for index in 0..3 {
        log.append_applied(join_with_version(index, "a", "v1"));
    }
    let mut seen = log.fleet.clone();
    for (count, step) in steps.iter().enumerate() {
        if count % STEPS_BETWEEN_READS == 0 {
            seen = log.fleet.clone();
        }
        for body in next_bodies(&seen, *step) {
            let before = log.fleet.clone();
            let outcome = log.append(body.clone());
            check(&before, &body, &outcome, &log.fleet);
        }
    }
    log
}

fn next_bodies(seen: &Fleet, step: u64) -> Vec<Body> {
    let (choice, rest) = (step % 10, step / 10);
    let member = rest % VM_COUNT;
    let name = vm(member as usize);
    match choice {
        0 => {
            let version = ["v1", "v2", "v3", ""][(rest / VM_COUNT % 4) as usize];
            vec![join_with_version(member as usize, "a", version)]
        }
        1 => {
            let leave = seen.members().get(&name).map(|known| Body::Leave {
                vm: name.clone(),
                incarnation: known.incarnation,
            });
            leave.into_iter().collect()
        }
        2 => {
            let version = ["v1", "v2", "v3"][(rest % 3) as usize];
            let duration_ms = [0, 12_000, 12_000, 20_000][(rest / 3 % 4) as usize];
            vec![rollout(rest % 40, ordered(version, duration_ms))]
        }
        3..=5 => {
            let steps = [
                RolloutStep::Promoted,
                RolloutStep::Completed,
                RolloutStep::Completed,
                rolled_back("bad answers"),
            ];
            let known = seen.rollout("ordering");
            let position = known.map_or(1, |known| known.order.position);
            vec![rollout(position, steps[(rest % 4) as usize].clone())]
        }
        _ => planned_moves(seen, &name),
    }
}

fn planned_moves(seen: &Fleet, me: &str) -> Vec<Body> {
    let Some(member) = seen.members().get(me) else {
        return Vec::new();
    };
    let view = LoadView {
        budget: 32,
        trial_share: SHARE,
        ..LoadView::default()
    };
    let moves = plan_moves(seen, &member.join.vm, &view).into_iter();
    moves
        .map(|(to, units)| Body::Move {
            handovers: BTreeMap::new(),
            from: me.to_owned(),
            incarnation: member.incarnation,
            to_incarnation: seen.members()[&to].incarnation,
            to,
            units: units
                .into_iter()
                .map(|unit| UnitFence {
                    fence: seen.owner(&unit).expect("the unit is owned").fence,
                    unit,
                })
                .collect(),
        })
        .collect()
}

/// Guards against a roll-out that is both completed and rolled back, or whose final state changes.
#[test]
fn each_order_ends_at_most_once() {
    check_property(|steps| {
        let mut ends = Ends::new();
        write_log(&steps, |_, _, _, after| {
            let Some(rollout) = after.rollout("ordering") else {
                return;
            };
            let end = ends
                .entry(rollout.order.position)
                .or_insert((rollout.state, 0));
            if end.0 != rollout.state {
                assert!(!end.0.is_ended(), "{:?} after {:?}", rollout.state, end.0);
                end.0 = rollout.state;
                end.1 += usize::from(rollout.state.is_ended());
            }
            assert!(end.1 <= 1);
        });
        true
    });
}

#[test]
fn positions_of_orders_never_decrease() {
    check_property(|steps| {
        write_log(&steps, |before, _, _, after| {
            let position = |fleet: &Fleet| {
                let rollout = fleet.rollout("ordering");
                rollout.map_or((0, 0), |known| {
                    (known.handled_position, known.order.position)
                })
            };
            assert!(position(after).0 >= position(before).0);
            assert!(position(after).1 >= position(before).1);
        });
        true
    });
}

/// Guards against members that get units by a loss, a return or a stale move although their version gets none.
#[test]
fn shards_come_to_versions_in_force_only_or_by_moves_to_members_on_trial() {
    check_property(|steps| {
        write_log(&steps, |before, body, _, after| {
            for (unit, owner) in after.owners() {
                let version = |fleet: &Fleet| fleet.members()[&owner.vm].join.version.clone();
                let is_new = before.owner(unit).is_none_or(|former| {
                    former.vm != owner.vm || version(before) != version(after)
                });
                if !is_new || !matches!(unit, Unit::Shard { .. }) {
                    continue;
                }
                let role = after.version_role(&after.members()[&owner.vm]);
                let is_move = matches!(body, Body::Move { .. });
                assert!(
                    role == VersionRole::Current || (is_move && role == VersionRole::Trial),
                    "{unit} of {} after {body:?}",
                    owner.vm
                );
            }
        });
        true
    });
}

/// Guards against units that are left without an owner beside members that may have them.
#[test]
fn shards_are_without_an_owner_only_while_no_member_has_a_version_in_force() {
    check_property(|steps| {
        write_log(&steps, |_, body, _, after| {
            let mut members = after.members().values();
            let has_candidate =
                members.any(|member| after.version_role(member) == VersionRole::Current);
            let mut unowned = after.unowned_units().keys();
            assert!(
                !has_candidate || !unowned.any(|unit| matches!(unit, Unit::Shard { .. })),
                "after {body:?}"
            );
        });
        true
    });
}

#[test]
fn rejected_records_leave_the_roll_out_as_it_is() {
    check_property(|steps| {
        write_log(&steps, |before, body, outcome, after| {
            if !matches!(outcome, Outcome::Rejected(_)) {
                return;
            }
            let without_position = |fleet: &Fleet| {
                let rollout = fleet.rollout("ordering").cloned();
                rollout.map(|mut rollout| {
                    rollout.handled_position = 0;
                    rollout
                })
            };
            assert_eq!(
                without_position(before),
                without_position(after),
                "{body:?}"
            );
        });
        true
    });
}

#[test]
fn snapshots_at_any_record_restore_the_state() {
    check_property(|steps| {
        let log = write_log(&steps, |_, _, _, after| {
            let restored = Fleet::restore(&after.snapshot_parts()).expect("the snapshot is whole");
            assert_eq!(restored, *after);
        });
        log.refold() == log.fleet
    });
}

/// Guards against a share of units on trial above the present one, once the members have acted on the same state.
#[test]
fn members_that_read_the_same_log_keep_the_share() {
    check_property(|steps| {
        let mut log = write_log(&steps, |_, _, _, _| {});
        for _ in 0..20 {
            let seen = log.fleet.clone();
            for me in seen.members().keys() {
                for body in planned_moves(&seen, me) {
                    log.append_applied(body);
                }
            }
        }
        let fleet = &log.fleet;
        let owners = fleet.owners().iter();
        let on_trial = owners.filter(|(unit, owner)| {
            let role = fleet.version_role(&fleet.members()[&owner.vm]);
            matches!(unit, Unit::Shard { .. }) && role == VersionRole::Trial
        });
        let mut members = fleet.members().values();
        let has_candidate =
            members.any(|member| fleet.version_role(member) == VersionRole::Current);
        !has_candidate || on_trial.count() <= (SHARE * f64::from(SHARDS)) as usize
    });
}
