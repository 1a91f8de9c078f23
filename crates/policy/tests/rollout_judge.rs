//! Verdicts on versions under drawn loads.

mod rollout_load;

use std::time::Duration;

use rollout_load::Fault;
use rollout_load::Kind;
use rollout_load::Replay;
use rollout_load::When;
use rollout_load::replay;

/// Guards against a rollback of a good version, which may happen at most once in 200 trials.
#[test]
fn good_versions_are_not_condemned() {
    let calm = Kind::default();
    let burst = Kind {
        burst: true,
        ..calm.clone()
    };
    let noise = Kind {
        noise: 0.2,
        ..calm.clone()
    };
    let slow_neighbour = Kind {
        slow_neighbour: true,
        trial_upstreams: 3..9,
        ..calm.clone()
    };
    let cold = Kind {
        cold: true,
        ..calm.clone()
    };
    let few_samples = Kind {
        rate: 3.0..60.0,
        ..noise.clone()
    };
    let noisy_burst = Kind {
        noise: 0.2,
        ..burst.clone()
    };
    let lost_reports = Kind {
        lost_reports: 0.3,
        restarts: 0.005,
        ..burst.clone()
    };
    let new_decider = Kind {
        first_report: 0.4,
        ..burst.clone()
    };
    // At rates below 60 a second, few trials reach the number of answers that promotion needs.
    let kinds = [
        ("calm", calm, 60),
        ("burst", burst, 60),
        ("noise", noise, 60),
        ("noise during a burst", noisy_burst, 60),
        ("slow neighbour", slow_neighbour, 60),
        ("cold", cold, 60),
        ("few samples", few_samples, 200),
        ("lost reports and restarts", lost_reports, 60),
        ("new decider", new_decider, 60),
    ];
    for (name, kind, max_unpromoted) in kinds {
        let replays: Vec<Replay> = (0..200).map(|seed| replay(&kind, seed)).collect();
        let reasons = replays.iter().filter_map(|replay| replay.reason.as_ref());
        let reasons: Vec<_> = reasons.collect();
        let unpromoted = replays.iter().filter(|replay| !replay.is_promoted).count();
        println!("{name}: {unpromoted} of 200 not promoted, condemned: {reasons:?}");
        assert!(reasons.len() <= 1, "{name}: {reasons:?}");
        assert!(unpromoted <= max_unpromoted, "{name}: {unpromoted}");
    }
}

/// Guards against a bad version that gets requests later than 1 s after its 50th bad answer, or that is promoted.
///
/// A judge without a former report of the homes needs answers that it can compare, and has the whole time limit of 5 s.
#[test]
fn bad_versions_are_condemned_in_time() {
    let all_routes = 0..usize::MAX;
    for fault in [Fault::Failures, Fault::Slow] {
        for (when, faulty_routes, first_report, max_seconds) in [
            (When::Always, all_routes.clone(), 0.0, 1),
            (When::Later, all_routes.clone(), 0.0, 1),
            (When::UnderLoad, all_routes.clone(), 0.0, 1),
            (When::Always, 0..1, 0.0, 1),
            (When::Always, all_routes.clone(), 0.4, 5),
        ] {
            let kind = Kind {
                fault: Some((fault, when)),
                faulty_routes: faulty_routes.clone(),
                first_report,
                ..Kind::default()
            };
            let replays: Vec<Replay> = (0..60).map(|seed| replay(&kind, seed)).collect();
            let is_undecided = |replay: &&Replay| replay.reason.is_none();
            let undecided = replays.iter().filter(is_undecided);
            let latest = replays.iter().map(|replay| replay.late).max();
            let case = format!("{fault:?} {when:?} {faulty_routes:?} {first_report}");
            println!(
                "{case}: {} undecided, {latest:?}",
                undecided.clone().count()
            );
            assert!(latest <= Some(Duration::from_secs(max_seconds)), "{case}");
            assert!(
                undecided.clone().all(|replay| !replay.is_promoted),
                "{case}"
            );
        }
    }
}
