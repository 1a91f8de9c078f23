//! Steps of a roll-out.

use std::time::Duration;

use policy::OldMember;
use policy::RolloutDecider;
use policy::RolloutDecision;
use policy::RolloutPhase;
use policy::RolloutSchedule;
use policy::RolloutVerdict;
use policy::RolloutView;

const MS: Duration = Duration::from_millis(1);

const IDLE: OldMember = OldMember {
    is_idle: true,
    owns_units: false,
    report_age: Duration::from_millis(100),
};

const BUSY: OldMember = OldMember {
    is_idle: false,
    ..IDLE
};

const LOST: OldMember = OldMember {
    report_age: Duration::from_millis(2_100),
    ..BUSY
};

const OWNER: OldMember = OldMember {
    owns_units: true,
    ..IDLE
};

const LOST_OWNER: OldMember = OldMember {
    owns_units: true,
    ..LOST
};

fn schedule() -> RolloutSchedule {
    RolloutSchedule::new(12_000 * MS, 0.1)
}

/// Returns the view at `since_order` ms with a sound version, promoted at 8,000 ms if that has passed by `promoting`.
fn view(since_order: u32, promoting: bool, old_members: &[OldMember]) -> RolloutView {
    let since_promoted = since_order.saturating_sub(8_000) * MS;
    RolloutView {
        has_keys: false,
        has_trial_upstream: true,
        old_members: old_members.to_vec(),
        phase: if promoting {
            RolloutPhase::Promoting { since_promoted }
        } else {
            RolloutPhase::Trial
        },
        since_order: since_order * MS,
        verdict: RolloutVerdict::Sound,
    }
}

/// Returns the decision as a word, with the reason of a rollback.
fn decide(view: &RolloutView) -> String {
    match RolloutDecider::new(schedule()).decide(view) {
        RolloutDecision::Continue => "continue".to_owned(),
        RolloutDecision::Promote => "promote".to_owned(),
        RolloutDecision::Complete => "complete".to_owned(),
        RolloutDecision::RollBack { reason } => reason,
    }
}

/// Guards against a promotion without evidence or without time to hand over, and against a trial without an outcome.
#[test]
fn a_trial_is_promoted_in_its_window_and_rolled_back_at_the_end() {
    let sound = RolloutVerdict::Sound;
    let undecided = RolloutVerdict::Undecided;
    let bad = RolloutVerdict::Bad {
        reason: "route read: slow".to_owned(),
    };
    let no_evidence = "not enough evidence at the end of the duration";
    for (since_order, verdict, has_trial_upstream, expected) in [
        (7_900, &sound, true, "continue"),
        (8_000, &sound, true, "promote"),
        (8_000, &sound, false, "continue"),
        (8_000, &undecided, true, "continue"),
        (9_300, &sound, true, "promote"),
        (9_400, &sound, true, "continue"),
        (11_200, &undecided, true, "continue"),
        (11_300, &undecided, true, no_evidence),
        (
            11_300,
            &sound,
            true,
            "not promoted before the end of the duration",
        ),
        (
            11_300,
            &undecided,
            false,
            "no upstream has the target version",
        ),
        (60_000, &undecided, true, no_evidence),
        (100, &bad, true, "route read: slow"),
        (8_000, &bad, true, "route read: slow"),
    ] {
        let view = RolloutView {
            has_trial_upstream,
            verdict: verdict.clone(),
            ..view(since_order, false, &[BUSY, OWNER])
        };
        assert_eq!(decide(&view), expected, "{view:?}");
    }
}

/// Guards against old upstreams that are stopped while requests run there or while they own units, and against a roll-out
/// that never ends because an old member doesn't become idle.
#[test]
fn a_promoted_version_is_completed_when_nothing_is_left_on_the_old_one() {
    let owner = "an upstream of another version still owns units";
    for (has_keys, since_order, old_members, expected) in [
        (true, 8_050, &[IDLE, IDLE][..], "continue"),
        (true, 8_500, &[IDLE, IDLE], "complete"),
        // Old homes of services without keys still accept requests.
        (false, 9_700, &[IDLE, IDLE], "continue"),
        (false, 9_900, &[IDLE, IDLE], "complete"),
        (false, 9_900, &[IDLE, BUSY], "continue"),
        (false, 9_900, &[IDLE, LOST], "complete"),
        (true, 11_200, &[IDLE, BUSY], "continue"),
        (true, 11_300, &[IDLE, BUSY], "complete"),
        (true, 8_500, &[IDLE, OWNER], "continue"),
        (true, 11_200, &[IDLE, LOST_OWNER], "continue"),
        (true, 11_300, &[IDLE, OWNER], owner),
        (true, 11_300, &[IDLE, LOST_OWNER], owner),
        (
            true,
            12_000,
            &[IDLE],
            "not completed before the end of the duration",
        ),
        (false, 8_500, &[], "complete"),
    ] {
        let view = RolloutView {
            has_keys,
            ..view(since_order, true, old_members)
        };
        assert_eq!(decide(&view), expected, "{view:?}");
    }
}

/// Guards against a completion of a version that turns out to be bad, or is gone, after its promotion.
#[test]
fn a_promoted_version_is_rolled_back_if_it_is_bad_or_lost() {
    let idle = view(9_900, true, &[IDLE]);
    let reason = "all routes: slow".to_owned();
    let bad = RolloutView {
        verdict: RolloutVerdict::Bad { reason },
        ..idle.clone()
    };
    assert_eq!(decide(&bad), "all routes: slow");
    let lost = RolloutView {
        has_trial_upstream: false,
        ..idle.clone()
    };
    assert_eq!(
        decide(&lost),
        "all upstreams of the target version were lost"
    );
    // A new decider has no evidence yet. The log says that the version was sound.
    let without_evidence = RolloutView {
        verdict: RolloutVerdict::Undecided,
        ..idle
    };
    assert_eq!(decide(&without_evidence), "complete");
}

/// Guards against two outcomes that one decider states.
#[test]
fn a_rollback_is_final() {
    let mut decider = RolloutDecider::new(schedule());
    let at_end = view(11_300, false, &[OWNER]);
    let first = decider.decide(&at_end);
    assert!(matches!(first, RolloutDecision::RollBack { .. }));
    assert_eq!(decider.decide(&view(11_400, true, &[IDLE])), first);
}

/// Guards against a schedule that leaves no time for promotion, or exceeds the largest share.
#[test]
fn schedules_of_long_and_short_roll_outs() {
    let times = |duration: u32| {
        let schedule = RolloutSchedule::new(duration * MS, 0.1);
        let shares = [0.0, 0.24, 0.26, 0.44, 0.46, 0.99];
        let shares = shares.map(|part| schedule.trial_share((duration * MS).mul_f64(part)));
        assert_eq!(shares, [0.02, 0.02, 0.05, 0.05, 0.08, 0.08]);
        let start = schedule.promotion_start().as_millis();
        (start, schedule.closing_start().as_millis())
    };
    assert_eq!(times(12_000), (8_000, 11_300));
    assert_eq!(times(60_000), (42_000, 59_300));
    assert_eq!(times(5_000), (2_000, 4_300));
    assert_eq!(times(1), (0, 0));
    let small = RolloutSchedule::new(12_000 * MS, 0.0625);
    assert_eq!(small.trial_share(6_000 * MS), 0.05);
    let promoting = [0, 699, 700, 1_399, 1_400].map(|ms| small.promoting_share(ms * MS));
    assert_eq!(promoting, [0.25, 0.25, 0.5, 0.5, 1.0]);
    assert!(!small.old_homes_refuse(1_499 * MS) && small.old_homes_refuse(1_500 * MS));
}
