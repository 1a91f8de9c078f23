//! Roll-outs of versions in the fold of the log.

mod support;

use std::collections::BTreeSet;

use cluster::Body;
use cluster::Change;
use cluster::Fleet;
use cluster::Join;
use cluster::Outcome;
use cluster::Record;
use cluster::Rollout;
use cluster::RolloutState;
use cluster::RolloutStep;
use cluster::VersionRole;
use support::Log;
use support::join_with_version;
use support::ordered;
use support::plans;
use support::rolled_back;
use support::rollout;
use support::vm;
use support::workspaces;

/// Position of the first order.
const ORDER: u64 = 10;

const DURATION_MS: u64 = 12_000;

/// Returns a log with `old` members of version v1, followed by `new` members of version v2, in three zones.
fn log_of(old: usize, new: usize) -> Log {
    let mut log = Log::default();
    log.append(plans(64));
    log.append(workspaces(&["acme"]));
    for index in 0..old + new {
        let version = if index < old { "v1" } else { "v2" };
        log.append_applied(join_with_version(index, zone(index), version));
    }
    log
}

/// Returns a log in which version v2 has been ordered before its members join, with the steps that lead to a state.
fn log_in(state: RolloutState) -> Log {
    let mut log = log_of(4, 0);
    log.append_applied(rollout(ORDER, ordered("v2", DURATION_MS)));
    for index in 4..6 {
        log.append_applied(join_with_version(index, zone(index), "v2"));
    }
    for step in steps_to(state) {
        log.append_applied(rollout(ORDER, step));
    }
    assert_eq!(state_of(&log.fleet), state);
    log
}

fn steps_to(state: RolloutState) -> Vec<RolloutStep> {
    match state {
        RolloutState::Trial => vec![],
        RolloutState::Promoting => vec![RolloutStep::Promoted],
        RolloutState::Completed => vec![RolloutStep::Promoted, RolloutStep::Completed],
        RolloutState::RolledBack => vec![rolled_back("12 bad answers")],
    }
}

fn zone(index: usize) -> &'static str {
    ["a", "b", "c"][index % 3]
}

fn current(fleet: &Fleet) -> &Rollout {
    fleet.rollout("ordering").expect("a version was ordered")
}

fn state_of(fleet: &Fleet) -> RolloutState {
    current(fleet).state
}

fn reason_of(fleet: &Fleet) -> &str {
    current(fleet).reason.as_deref().unwrap_or_default()
}

fn role_of(log: &Log, version: &str) -> VersionRole {
    current(&log.fleet).version_role(version)
}

fn is_rejected(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Rejected(_))
}

/// Asserts that a record is rejected and leaves the roll-out as it is.
fn assert_rejected(log: &mut Log, body: Body) {
    let before = log.fleet.rollouts().clone();
    let outcome = log.append(body);
    assert!(is_rejected(&outcome), "{outcome:?}");
    assert_eq!(*log.fleet.rollouts(), before);
}

const STATES: [RolloutState; 4] = [
    RolloutState::Trial,
    RolloutState::Promoting,
    RolloutState::Completed,
    RolloutState::RolledBack,
];

/// Guards against a roll-out that ends twice, or that skips the promotion.
#[test]
fn each_step_is_valid_from_its_states_only() {
    let published = RolloutStep::Published {
        state: RolloutState::Trial,
    };
    let mut lines = Vec::new();
    for state in STATES {
        for step in [
            RolloutStep::Promoted,
            RolloutStep::Completed,
            rolled_back("late"),
            published.clone(),
            ordered("v2", DURATION_MS),
            ordered("v3", DURATION_MS),
        ] {
            let mut log = log_in(state);
            let is_order = matches!(step, RolloutStep::Ordered { .. });
            let position = if is_order { ORDER + 1 } else { ORDER };
            let outcome = log.append(rollout(position, step.clone()));
            let next = match &outcome {
                Outcome::Applied(_) => format!("{:?}", state_of(&log.fleet)),
                outcome => format!("{outcome:?}"),
            };
            lines.push(format!("{state:?}, {step:?}: {next}"));
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn a_step_without_an_order_or_of_another_order_is_rejected() {
    let mut log = log_of(4, 0);
    assert_rejected(&mut log, rollout(ORDER, RolloutStep::Promoted));
    assert_rejected(&mut log, rollout(ORDER, rolled_back("no order")));
    log.append_applied(rollout(ORDER, ordered("v2", DURATION_MS)));
    for position in [ORDER - 1, ORDER + 1] {
        assert_rejected(&mut log, rollout(position, RolloutStep::Promoted));
        assert_rejected(&mut log, rollout(position, rolled_back("another order")));
    }
}

#[test]
fn roles_follow_the_state() {
    let roles = STATES.map(|state| {
        let log = log_in(state);
        let roles = ["v1", "v2", ""].map(|version| role_of(&log, version));
        (state, roles)
    });
    insta::assert_debug_snapshot!(roles);
}

/// Guards against two outcomes when deciders disagree.
#[test]
fn of_two_deciders_that_append_opposite_records_the_first_takes_effect() {
    for (state, opposite) in [
        (RolloutState::Trial, RolloutStep::Promoted),
        (RolloutState::Promoting, RolloutStep::Completed),
    ] {
        let mut log = log_in(state);
        log.append_applied(rollout(ORDER, rolled_back("12 bad answers")));
        assert_rejected(&mut log, rollout(ORDER, opposite.clone()));
        assert_eq!(state_of(&log.fleet), RolloutState::RolledBack);

        let mut log = log_in(state);
        log.append_applied(rollout(ORDER, opposite));
        let outcome = log.append(rollout(ORDER, rolled_back("12 bad answers")));
        // A promotion can still be rolled back, and a completed roll-out can't.
        assert_eq!(is_rejected(&outcome), state == RolloutState::Promoting);
    }
}

/// Guards against a roll-out without an end, or with two, when deciders are lost.
#[test]
fn a_decider_lost_at_any_step_is_replaced_and_there_is_one_end() {
    let ways = [
        vec![RolloutStep::Promoted, RolloutStep::Completed],
        vec![RolloutStep::Promoted, rolled_back("an owner is left")],
        vec![rolled_back("12 bad answers")],
    ];
    for steps in ways {
        for lost_before in 0..=steps.len() {
            for writes_before_loss in [false, true] {
                let mut log = log_in(RolloutState::Trial);
                let mut ends = 0;
                for (index, step) in steps.iter().enumerate() {
                    let before = state_of(&log.fleet);
                    if index == lost_before {
                        if writes_before_loss {
                            log.append(rollout(ORDER, step.clone()));
                        }
                        lose_first_decider(&mut log);
                    }
                    // All remaining deciders take the same step, as each does not know of the others.
                    let deciders = log.fleet.rollout_deciders("ordering").len();
                    for _ in 0..deciders {
                        log.append(rollout(ORDER, step.clone()));
                    }
                    assert_eq!(deciders, 3);
                    let after = state_of(&log.fleet);
                    ends += usize::from(!before.is_ended() && after.is_ended());
                }
                assert_eq!(ends, 1);
                assert_eq!(log.refold(), log.fleet);
            }
        }
    }
}

/// Ends the membership of the first decider, and checks that the others remain and another one follows.
fn lose_first_decider(log: &mut Log) {
    let deciders = |log: &Log| -> Vec<String> {
        let deciders = log.fleet.rollout_deciders("ordering");
        deciders.into_iter().cloned().collect()
    };
    let before = deciders(log);
    log.leave(&before[0]);
    let after = deciders(log);
    assert_eq!(after.len(), 3);
    assert!(!after.contains(&before[0]));
    assert!(before[1..].iter().all(|decider| after.contains(decider)));
}

/// Guards against deciders that one fault takes together, or that a faulty version overloads.
#[test]
fn deciders_are_in_different_zones_and_do_not_have_the_target_version() {
    for state in STATES {
        let log = log_in(state);
        let deciders = log.fleet.rollout_deciders("ordering");
        let members = deciders.iter().map(|vm| &log.fleet.members()[*vm].join);
        let zones: BTreeSet<&String> = members.clone().map(|join| &join.zone).collect();
        assert_eq!(zones.len(), 3);
        assert!(members.clone().all(|join| join.version == "v1"));
        assert_eq!(
            deciders,
            log_in(RolloutState::Trial)
                .fleet
                .rollout_deciders("ordering")
        );
    }
    let small = {
        let mut log = log_of(1, 1);
        log.append_applied(rollout(ORDER, ordered("v2", DURATION_MS)));
        log
    };
    assert_eq!(small.fleet.rollout_deciders("ordering").len(), 2);
    assert!(log_of(3, 0).fleet.rollout_deciders("ordering").is_empty());
}

#[test]
fn an_order_that_repeats_one_on_trial_changes_nothing_now_or_later() {
    let mut log = log_in(RolloutState::Trial);
    let outcome = log.append(rollout(ORDER + 5, ordered("v2", DURATION_MS)));
    assert!(is_rejected(&outcome));
    assert_eq!(current(&log.fleet).order.position, ORDER);
    assert_eq!(state_of(&log.fleet), RolloutState::Trial);
    log.append_applied(rollout(ORDER, rolled_back("12 bad answers")));
    // A member that has not read the former record of the repetition appends it again.
    assert_rejected(&mut log, rollout(ORDER + 5, ordered("v2", DURATION_MS)));
    assert_eq!(role_of(&log, "v2"), VersionRole::Withdrawn);
}

#[test]
fn an_older_order_is_rejected_in_every_state() {
    for state in STATES {
        let mut log = log_in(state);
        assert_rejected(&mut log, rollout(ORDER, ordered("v3", DURATION_MS)));
        assert_rejected(&mut log, rollout(ORDER - 1, ordered("v3", DURATION_MS)));
    }
}

#[test]
fn an_order_for_a_version_that_all_members_have_is_completed_at_once() {
    let mut log = log_of(4, 0);
    let changes = log.append_applied(rollout(ORDER, ordered("v1", DURATION_MS)));
    assert_eq!(
        changes,
        [Change::RolloutChanged {
            position: ORDER,
            service: "ordering".to_owned(),
            state: RolloutState::Completed,
        }]
    );
    assert_eq!(role_of(&log, "v1"), VersionRole::Current);
    assert_rejected(&mut log, rollout(ORDER, rolled_back("late")));
}

/// Guards against a trial of the version in force, which would leave its members a small share, while the upstreams of a
/// version that was rolled back have not stopped yet.
#[test]
fn an_order_for_the_version_in_force_after_a_rollback_is_completed_at_once() {
    let mut log = log_in(RolloutState::RolledBack);
    log.append_applied(rollout(ORDER + 1, ordered("v1", DURATION_MS)));
    assert_eq!(state_of(&log.fleet), RolloutState::Completed);
    assert_eq!(role_of(&log, "v1"), VersionRole::Current);
    assert_eq!(role_of(&log, "v2"), VersionRole::Withdrawn);
}

#[test]
fn an_order_for_a_version_that_no_member_has_begins_a_trial() {
    let mut log = log_of(4, 0);
    log.append_applied(rollout(ORDER, ordered("v9", DURATION_MS)));
    assert_eq!(state_of(&log.fleet), RolloutState::Trial);
    let mut log = Log::default();
    log.append(plans(64));
    log.append_applied(rollout(ORDER, ordered("v9", DURATION_MS)));
    assert_eq!(
        state_of(&log.fleet),
        RolloutState::Trial,
        "no member at all"
    );
}

/// Guards against orders that can't be carried out and take the version in force out of service.
#[test]
fn an_order_that_cannot_be_carried_out_is_rolled_back_with_a_reason_and_excludes_nothing() {
    let mut log = log_of(4, 0);
    log.append_applied(rollout(ORDER, ordered("v1", 0)));
    assert_eq!(state_of(&log.fleet), RolloutState::RolledBack);
    assert_eq!(reason_of(&log.fleet), "the duration is 0");
    assert_eq!(role_of(&log, "v1"), VersionRole::Current);

    let mut log = Log::default();
    log.append_applied(join_with_version(0, "a", "v1"));
    log.append_applied(rollout(ORDER, ordered("v2", DURATION_MS)));
    assert_eq!(state_of(&log.fleet), RolloutState::RolledBack);
    assert_eq!(reason_of(&log.fleet), "service `ordering` is not declared");
    assert_eq!(role_of(&log, "v2"), VersionRole::Current);
}

#[test]
fn an_order_that_cannot_be_carried_out_stops_no_earlier_one() {
    for state in STATES {
        let mut log = log_in(state);
        let publish = RolloutStep::Published { state };
        log.append_applied(rollout(ORDER, publish));
        log.append_applied(rollout(ORDER + 1, ordered("v1", 0)));
        assert_eq!(
            current(&log.fleet).published,
            None,
            "the status is written again"
        );
        assert!(reason_of(&log.fleet).contains("the duration is 0"));
        let before = log_in(state);
        for version in ["v1", "v2"] {
            assert_eq!(role_of(&log, version), role_of(&before, version));
        }
        if !state.is_ended() {
            assert_eq!(state_of(&log.fleet), state);
            assert!(reason_of(&log.fleet).contains("version `v1` at position 11"));
            log.append_applied(rollout(ORDER, rolled_back("12 bad answers")));
        }
        // The refused order is not new to a member that appends it later.
        assert_rejected(&mut log, rollout(ORDER + 1, ordered("v1", 0)));
    }
}

/// Guards against a version that gets all requests although its trial has not ended, because another one goes on trial.
#[test]
fn a_second_order_ends_the_first_one_as_rolled_back() {
    for state in [RolloutState::Trial, RolloutState::Promoting] {
        let mut log = log_in(state);
        let changes = log.append_applied(rollout(ORDER + 1, ordered("v3", DURATION_MS)));
        let states: Vec<_> = changes
            .iter()
            .filter_map(|change| match change {
                Change::RolloutChanged {
                    position, state, ..
                } => Some((*position, *state)),
                _ => None,
            })
            .collect();
        assert_eq!(
            states,
            [
                (ORDER, RolloutState::RolledBack),
                (ORDER + 1, RolloutState::Trial)
            ]
        );
        assert!(reason_of(&log.fleet).contains("version `v2` at position 10"));
        assert_eq!(role_of(&log, "v1"), VersionRole::Current);
        assert_eq!(role_of(&log, "v2"), VersionRole::Withdrawn);
        assert_eq!(role_of(&log, "v3"), VersionRole::Trial);
        assert_rejected(&mut log, rollout(ORDER, RolloutStep::Promoted));
        assert_rejected(&mut log, rollout(ORDER, RolloutStep::Completed));
        assert_rejected(&mut log, rollout(ORDER, rolled_back("late")));
    }
}

#[test]
fn the_former_version_ordered_during_a_promotion_is_in_force_again_at_once() {
    let mut log = log_in(RolloutState::Promoting);
    log.append_applied(rollout(ORDER + 1, ordered("v1", DURATION_MS)));
    assert_eq!(state_of(&log.fleet), RolloutState::Completed);
    assert_eq!(role_of(&log, "v1"), VersionRole::Current);
    assert_eq!(role_of(&log, "v2"), VersionRole::Withdrawn);
}

#[test]
fn a_later_order_puts_a_version_on_trial_again_that_got_nothing() {
    let mut log = log_in(RolloutState::RolledBack);
    log.append_applied(rollout(ORDER + 1, ordered("v2", DURATION_MS)));
    assert_eq!(role_of(&log, "v2"), VersionRole::Trial);
    assert_eq!(role_of(&log, "v1"), VersionRole::Current);

    let mut log = log_in(RolloutState::Completed);
    log.append_applied(rollout(ORDER + 1, ordered("v1", DURATION_MS)));
    assert_eq!(
        role_of(&log, "v1"),
        VersionRole::Trial,
        "a return to the old version"
    );
    assert_eq!(role_of(&log, "v2"), VersionRole::Current);
}

#[test]
fn exclusions_end_with_a_later_order_once_no_member_has_the_version() {
    let mut log = log_in(RolloutState::RolledBack);
    for index in 4..6 {
        log.leave(&vm(index));
    }
    log.append_applied(rollout(ORDER + 1, ordered("v3", DURATION_MS)));
    assert_eq!(role_of(&log, "v2"), VersionRole::Current);
    assert_eq!(current(&log.fleet).replaced_versions, BTreeSet::new());
}

/// Guards against an order that leaves a service without any version to serve it.
#[test]
fn exclusions_end_with_a_later_order_if_no_other_version_is_left() {
    let mut log = log_in(RolloutState::RolledBack);
    for index in 0..4 {
        log.leave(&vm(index));
    }
    assert!(
        log.fleet
            .owners()
            .keys()
            .all(|unit| unit.to_string().starts_with("bucket"))
    );
    log.append_applied(rollout(ORDER + 1, ordered("v3", DURATION_MS)));
    assert_eq!(role_of(&log, "v2"), VersionRole::Current);
    assert_eq!(
        log.fleet.unowned_units().len(),
        0,
        "they get the units again"
    );
}

#[test]
fn completion_replaces_the_versions_that_members_have_then() {
    let mut log = log_in(RolloutState::Promoting);
    log.append_applied(join_with_version(7, "a", "v0"));
    log.append_applied(rollout(ORDER, RolloutStep::Completed));
    let expected = ["v0", "v1"].map(str::to_owned);
    assert_eq!(
        current(&log.fleet).replaced_versions,
        BTreeSet::from(expected)
    );
    assert_eq!(role_of(&log, "v4"), VersionRole::Current, "a later version");
}

/// Guards against an untried version that serves a large share because an owner was lost.
#[test]
fn takeovers_never_give_units_to_members_on_trial() {
    let mut log = log_in(RolloutState::Trial);
    for index in 0..3 {
        log.leave(&vm(index));
        assert_eq!(shards_of(&log, 4) + shards_of(&log, 5), 0);
    }
    assert_eq!(shards_of(&log, 3), 64);
    log.leave(&vm(3));
    assert_eq!(log.fleet.unowned_units().len(), 64, "no other candidate");
    log.append_applied(join_with_version(8, "a", "v1"));
    assert_eq!(shards_of(&log, 8), 64);
}

#[test]
fn units_without_an_owner_go_to_the_version_that_is_promoted_or_remains() {
    let mut log = log_in(RolloutState::Trial);
    for index in 0..4 {
        log.leave(&vm(index));
    }
    let mut promoted = log.refold();
    let text = log.record("promoted", rollout(ORDER, RolloutStep::Promoted));
    promoted.apply(promoted.next_offset(), &text);
    assert_eq!(promoted.unowned_units().len(), 0);
    log.append_applied(rollout(ORDER, rolled_back("12 bad answers")));
    assert_eq!(log.fleet.unowned_units().len(), 64);
}

#[test]
fn members_that_get_nothing_are_not_moved_any_units() {
    for (state, to) in [
        (RolloutState::RolledBack, 4),
        (RolloutState::Promoting, 1),
        (RolloutState::Completed, 1),
    ] {
        let mut log = log_in(state);
        let before = shards_of(&log, to);
        // Buckets of rate limits are moved, since they do not belong to a service.
        log.move_all(&vm(0), &vm(to));
        assert_eq!(shards_of(&log, to), before, "{state:?}");
    }
    let mut log = log_in(RolloutState::Promoting);
    let before = shards_of(&log, 0);
    log.move_all(&vm(0), &vm(4));
    assert_eq!(shards_of(&log, 4), before);
}

fn shards_of(log: &Log, index: usize) -> usize {
    let vm = vm(index);
    let units = log.fleet.units_of(&vm);
    units
        .filter(|(unit, _)| unit.to_string().starts_with("shard"))
        .count()
}

/// Guards against a version that gets a whole share of units because it starts in the place of another one, and against two
/// owners of these units, since the former upstream may hold grants until its lease ends.
#[test]
fn a_member_that_returns_with_another_version_keeps_no_units_while_a_roll_out_runs() {
    for state in [RolloutState::Trial, RolloutState::Promoting] {
        for version in ["v2", "v3"] {
            let mut log = log_in(state);
            let shards = shards_of(&log, 0);
            assert!(shards > 0);
            let before: Vec<_> = log
                .fleet
                .units_of(&vm(0))
                .map(|(unit, _)| unit.clone())
                .collect();
            log.append_applied(join_with_version(0, zone(0), version));
            for unit in before {
                if let Some(owner) = log.fleet.owner(&unit) {
                    assert!(owner.wait_ms >= 2_000, "{unit}: {}", owner.wait_ms);
                } else {
                    assert!(log.fleet.unowned_units()[&unit] >= 2_000);
                }
            }
            if state == RolloutState::Trial && version == "v2" {
                assert_eq!(shards_of(&log, 0), 0);
            }
        }
    }
}

#[test]
fn a_member_that_returns_with_its_version_keeps_its_units() {
    for state in STATES {
        let mut log = log_in(state);
        let before = shards_of(&log, 0);
        log.append_applied(join_with_version(0, zone(0), "v1"));
        assert_eq!(shards_of(&log, 0), before);
        assert!(
            log.fleet
                .units_of(&vm(0))
                .all(|(_, owner)| owner.wait_ms == 0)
        );
    }
}

#[test]
fn a_member_that_returns_with_another_version_keeps_its_units_without_a_roll_out() {
    let mut log = log_of(3, 0);
    let before = shards_of(&log, 0);
    log.append_applied(join_with_version(0, zone(0), "v2"));
    assert_eq!(shards_of(&log, 0), before);

    let mut log = log_in(RolloutState::Completed);
    let before = shards_of(&log, 0);
    log.append_applied(join_with_version(0, zone(0), "v2"));
    assert_eq!(shards_of(&log, 0), before);

    let mut log = log_in(RolloutState::RolledBack);
    log.append_applied(join_with_version(0, zone(0), "v2"));
    assert_eq!(shards_of(&log, 0), 0, "the version was rolled back");
}

#[test]
fn the_written_status_belongs_to_one_state_and_one_generation() {
    let mut log = log_in(RolloutState::Trial);
    let published = |state| RolloutStep::Published { state };
    log.append_applied(rollout(ORDER, published(RolloutState::Trial)));
    assert_eq!(current(&log.fleet).published, Some(RolloutState::Trial));
    log.append_applied(rollout(ORDER, RolloutStep::Promoted));
    log.append_applied(rollout(ORDER, RolloutStep::Completed));
    assert_eq!(current(&log.fleet).published, Some(RolloutState::Trial));
    log.append_applied(rollout(ORDER, published(RolloutState::Completed)));
    log.append_applied(rollout(ORDER, published(RolloutState::Promoting)));
    assert_eq!(current(&log.fleet).published, Some(RolloutState::Completed));
    assert_rejected(
        &mut log,
        rollout(ORDER + 1, published(RolloutState::Completed)),
    );
    let continued = log.fleet.continued_in(1);
    assert_eq!(current(&continued).published, None);
    assert_eq!(current(&continued).state, RolloutState::Completed);
}

#[test]
fn snapshots_hold_roll_outs() {
    for state in STATES {
        let log = log_in(state);
        let restored = Fleet::restore(&log.fleet.snapshot_parts()).expect("the snapshot is whole");
        assert_eq!(restored, log.fleet);
        assert_eq!(log.refold(), log.fleet);
    }
}

/// Guards against records and snapshots of the former version of this program that can't be read any more.
#[test]
fn records_and_snapshots_without_versions_are_read() {
    let mut log = Log::default();
    log.append(plans(64));
    for index in 0..3 {
        log.append_applied(join_with_version(index, zone(index), ""));
    }
    let text = String::from_utf8(log.records[1].clone()).expect("a record is text");
    assert!(!text.contains("version"));
    let record: Record = serde_json::from_str(&text).expect("the record is whole");
    assert!(matches!(record.body, Body::Join(Join { version, .. }) if version.is_empty()));
    let parts = log.fleet.snapshot_parts();
    assert!(!parts.concat().contains("rollouts"));
    assert_eq!(
        Fleet::restore(&parts).expect("the snapshot is whole"),
        log.fleet
    );
}

#[test]
fn steps_in_the_log() {
    let steps = [
        ordered("v2", DURATION_MS),
        RolloutStep::Promoted,
        RolloutStep::Completed,
        rolled_back("12 bad answers"),
        RolloutStep::Published {
            state: RolloutState::RolledBack,
        },
    ];
    let lines: Vec<String> = steps
        .into_iter()
        .map(|step| serde_json::to_string(&rollout(ORDER, step)).expect("a body is JSON"))
        .collect();
    for line in &lines {
        let body: Body = serde_json::from_str(line).expect("the body is whole");
        assert_eq!(serde_json::to_string(&body).expect("a body is JSON"), *line);
    }
    insta::assert_snapshot!(lines.join("\n"));
}
