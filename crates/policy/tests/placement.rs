//! Placement by cost: replays of loads on a fleet of 40 upstreams of speeds from 0.7 to 1.6, each compared with the balanced
//! chooser, and the estimates of cost, speed and remaining work.

mod placed_fleet;

use std::collections::BTreeSet;
use std::time::Duration;

use placed_fleet::ChooserFactory;
use placed_fleet::Latencies;
use placed_fleet::Load;
use placed_fleet::play;
use policy::BalancedChooser;
use policy::Candidate;
use policy::Chooser;
use policy::Completion;
use policy::Cost;
use policy::CostEstimates;
use policy::CostKey;
use policy::ExpectedCompletion;
use policy::HomeCosts;
use policy::HomeWork;
use policy::MAX_COST_ENTRIES;
use policy::MAX_SPEED;
use policy::MIN_SPEED;
use policy::RemainingWork;
use policy::RequestKind;
use policy::SpeedEstimate;

/// Zone distance of the default settings.
const NEAR_ZONES: Duration = Duration::from_millis(3);

/// Zone distance of the template of a deployment.
const FAR_ZONES: Duration = Duration::from_millis(400);

/// Seeds of the replays, whose latencies are averaged.
const SEEDS: [u64; 3] = [1, 2, 3];

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

fn balanced(zone: &str, seed: u64) -> Box<dyn Chooser> {
    Box::new(BalancedChooser::new(zone.to_owned(), seed).with_zone_distance(NEAR_ZONES))
}

fn by_cost(zone: &str, seed: u64) -> Box<dyn Chooser> {
    Box::new(ExpectedCompletion::new(zone.to_owned(), seed, NEAR_ZONES))
}

fn balanced_with_far_zones(zone: &str, seed: u64) -> Box<dyn Chooser> {
    Box::new(BalancedChooser::new(zone.to_owned(), seed).with_zone_distance(FAR_ZONES))
}

fn by_cost_with_far_zones(zone: &str, seed: u64) -> Box<dyn Chooser> {
    Box::new(ExpectedCompletion::new(zone.to_owned(), seed, FAR_ZONES))
}

/// Plays a load with the balanced chooser and by cost, and returns the latencies of both.
fn compare(name: &str, load: impl Fn(ChooserFactory) -> Load) -> [Latencies; 2] {
    compare_choosers(name, [balanced, by_cost], load)
}

fn compare_choosers(
    name: &str,
    choosers: [ChooserFactory; 2],
    load: impl Fn(ChooserFactory) -> Load,
) -> [Latencies; 2] {
    let [before, after] = choosers.map(|chooser| {
        let runs = SEEDS.map(|seed| {
            play(&Load {
                seed,
                ..load(chooser)
            })
        });
        Latencies::mean_of(&runs)
    });
    println!("{name}: before {before:.1?}, after {after:.1?}");
    [before, after]
}

fn steady(chooser: ChooserFactory) -> Load {
    Load {
        chooser,
        cost_factor: |_| 1.0,
        intensity: |_| 0.8,
        measured: (3 * SECOND, 8 * SECOND),
        seed: 1,
        states_speed: true,
    }
}

#[test]
fn fast_upstreams_get_more() {
    let [before, after] = compare("stated speeds, load 0.8", steady);
    assert!(after.mean < before.mean.mul_f64(0.95));
    assert!(after.p99 < before.p99);
    let busy = |chooser| Load {
        intensity: |_| 0.9,
        ..steady(chooser)
    };
    let [before, after] = compare("stated speeds, load 0.9", busy);
    assert!(after.mean < before.mean.mul_f64(0.9));
    assert!(after.late_percent < before.late_percent);
}

/// Guards against a speed that follows the noise of single requests.
#[test]
fn speeds_that_are_not_stated_are_learned() {
    let [before, after] = compare("speeds not stated, load 0.8", |chooser| Load {
        states_speed: false,
        ..steady(chooser)
    });
    assert!(after.mean < before.mean);
    assert!(after.late_percent < before.late_percent * 1.02);
}

/// Guards against a choice of one upstream in the own zone when the other candidate is far.
#[test]
fn a_large_zone_distance_leaves_a_choice() {
    let choosers: [ChooserFactory; 2] = [balanced_with_far_zones, by_cost_with_far_zones];
    let [before, after] = compare_choosers("far zones, load 0.8", choosers, steady);
    assert!(after.mean < before.mean.mul_f64(0.75));
    assert!(after.late_percent < before.late_percent / 2.0);
}

/// Load pattern: from 5 s on, one route of three costs ten times as much.
#[test]
fn a_tenfold_cost_is_learned_within_a_second() {
    let [before, after] = compare("tenfold costs", |chooser| Load {
        cost_factor: |now| if now >= 5 * SECOND { 10.0 } else { 1.0 },
        intensity: |_| 0.4,
        measured: (5 * SECOND, 8 * SECOND),
        ..steady(chooser)
    });
    assert!(after.mean < before.mean);
    assert!(after.p99 < before.p99.mul_f64(1.05));
}

/// Load pattern: a burst of 1.7 for two seconds.
#[test]
fn a_burst_is_spread_by_remaining_work() {
    let [before, after] = compare("burst", |chooser| Load {
        intensity: |now| match (5 * SECOND..7 * SECOND).contains(&now) {
            true => 0.6 * 1.7,
            false => 0.6,
        },
        measured: (5 * SECOND, 9 * SECOND),
        ..steady(chooser)
    });
    assert!(after.mean < before.mean);
    assert!(after.late_percent < before.late_percent);
}

fn key(route: &str, bytes: usize) -> CostKey {
    CostKey::new(route, bytes, None)
}

#[test]
fn an_unknown_cost_is_that_of_a_coarser_kind_and_never_zero() {
    let mut costs = CostEstimates::default();
    assert!(costs.estimate(&key("a", 0)).mean > Duration::ZERO);
    costs.observe(SECOND, &key("a", 100), Duration::ZERO);
    assert!(costs.estimate(&key("a", 100)).mean > Duration::ZERO);
    for step in 0..50 {
        costs.observe(SECOND + step * MS, &key("b", 100), 20 * MS);
    }
    let known = costs.estimate(&key("b", 100)).mean;
    assert!(known > 19 * MS && known < 21 * MS, "{known:?}");
    assert_eq!(costs.estimate(&key("b", 255)).mean, known, "the same class");
    let other_size = costs.estimate(&key("b", 256)).mean;
    assert!(
        other_size > known && other_size < 2 * known,
        "{other_size:?}"
    );
    assert!(costs.estimate(&key("c", 0)).mean > Duration::ZERO);
}

#[test]
fn a_wrong_estimate_corrects_itself_and_noise_does_not_move_it() {
    let mut costs = CostEstimates::default();
    let mut now = SECOND;
    let mut observe = |costs: &mut CostEstimates, cost: Duration| {
        now += 10 * MS;
        costs.observe(now, &key("a", 0), cost);
    };
    for step in 0..200 {
        observe(&mut costs, (8 + step % 5) * MS);
    }
    observe(&mut costs, 25 * MS);
    let mean = costs.estimate(&key("a", 0)).mean;
    assert!(mean > 9 * MS && mean < 12 * MS, "{mean:?}");
    for step in 0..10 {
        observe(&mut costs, (80 + 10 * (step % 5)) * MS);
    }
    let mean = costs.estimate(&key("a", 0)).mean;
    assert!(mean > 70 * MS && mean < 130 * MS, "{mean:?}");
}

#[test]
fn at_most_512_kinds_are_kept_and_the_least_recently_used_is_evicted() {
    let mut costs = CostEstimates::default();
    for index in 0..2_000 {
        costs.observe(SECOND, &key("kept", 0), 50 * MS);
        costs.observe(SECOND, &key(&format!("route-{index}"), 0), MS);
        assert!(costs.len() <= MAX_COST_ENTRIES);
    }
    let kept = costs.estimate(&key("kept", 0)).mean;
    assert!(kept > 49 * MS, "{kept:?}");
}

#[test]
fn a_speed_is_that_of_the_last_second_and_bounded() {
    let mut speed = SpeedEstimate::default();
    assert_eq!(speed.speed(SECOND), 1.0);
    for step in 0..200 {
        speed.observe(step * 10 * MS, 10 * MS, 20 * MS);
    }
    let slow = speed.speed(2 * SECOND);
    assert!((0.5..0.6).contains(&slow), "{slow}");
    let later = speed.speed(10 * SECOND);
    assert!(later > 0.95, "{later}");
    for step in 0..200 {
        speed.observe(10 * SECOND + step * 10 * MS, MS, SECOND);
    }
    assert_eq!(speed.speed(12 * SECOND), MIN_SPEED);
    speed.set_stated(Some(f64::NAN));
    assert_eq!(speed.stated(), 1.0);
    speed.set_stated(Some(100.0));
    assert_eq!(speed.stated(), MAX_SPEED);
}

#[test]
fn remaining_work_is_what_waits_and_what_is_left_of_what_runs() {
    let cost = |ms| Cost {
        mean: ms * MS,
        spread: 4 * MS,
    };
    let mut work = RemainingWork::default();
    work.add("a".to_owned(), cost(40));
    work.add("b".to_owned(), cost(60));
    assert_eq!(work.total(SECOND, 1.0), 100 * MS);
    work.start(SECOND, "a");
    assert_eq!(work.total(SECOND + 10 * MS, 2.0), 80 * MS);
    assert_eq!(
        work.total(SECOND + 100 * MS, 1.0),
        65 * MS,
        "5 ms are left of `a`"
    );
    assert_eq!(work.remove("a"), Some(cost(40)));
    assert_eq!(work.remove("b"), Some(cost(60)));
    assert_eq!(work.remove("b"), None);
    assert_eq!(work.total(SECOND, 1.0), Duration::ZERO);
}

/// Guards against units that follow each change of a speed, since keys are not served while their unit moves.
#[test]
fn the_capacity_for_units_follows_the_mean_speed() {
    let mut costs = HomeCosts::default();
    let mut now = SECOND;
    assert_eq!(costs.capacity(now, 8), 8.0);
    costs.set_stated_speed(Some(0.5));
    now += SECOND;
    let soon = costs.capacity(now, 8);
    assert!((7.0..8.0).contains(&soon), "{soon}");
    for _ in 0..40 {
        now += SECOND;
        costs.capacity(now, 8);
    }
    let settled = costs.capacity(now, 8);
    assert!((4.0..4.2).contains(&settled), "{settled}");
    costs.restart();
    assert_eq!(costs.capacity(now, 8), 8.0, "another upstream");
}

#[test]
fn a_home_states_nothing_until_it_has_learned_and_its_cold_rate_while_it_is_cold() {
    let mut costs = HomeCosts::default();
    assert_eq!(costs.state(SECOND, &key("a", 0), None), None);
    for step in 0..20 {
        costs.record_answer(SECOND + step * MS, &key("a", 0), 100 * MS);
    }
    let now = SECOND + 20 * MS;
    let expected = costs.add("r".to_owned(), &key("a", 0));
    let warm = costs.state(now, &key("a", 0), None).unwrap();
    assert_eq!(warm.remaining, expected.mean);
    assert!((0.9..1.1).contains(&warm.speed), "{warm:?}");
    let cold = costs.state(now, &key("a", 0), Some(5.0)).unwrap();
    assert!((0.4..0.6).contains(&cold.speed), "{cold:?}");
    costs.end("r");
    let idle = costs.state(now, &key("a", 0), None).unwrap();
    assert_eq!(idle.remaining, Duration::ZERO);
}

/// Returns a chooser with two candidates of one slot in its zone, and the kind of its requests.
fn chooser_of_two() -> (ExpectedCompletion, RequestKind) {
    let mut chooser = ExpectedCompletion::new("a".to_owned(), 1, NEAR_ZONES);
    let candidates = ["vm-0", "vm-1"].map(|vm| Candidate {
        slots: 1,
        vm: vm.to_owned(),
        zone: "a".to_owned(),
    });
    chooser.set_candidates(Duration::ZERO, &candidates);
    let kind = RequestKind {
        cost_key: key("a", 0),
        target_latency: 100 * MS,
    };
    (chooser, kind)
}

fn report(chooser: &mut ExpectedCompletion, at: Duration, vm: &str, work: (Duration, f64)) {
    let kind = chooser_of_two().1;
    let work = HomeWork {
        cost: Some(10 * MS),
        remaining: work.0,
        speed: work.1,
    };
    chooser.record_work(at, &vm.to_owned(), &kind, work);
}

fn choose(chooser: &mut ExpectedCompletion, at: Duration) -> String {
    let kind = chooser_of_two().1;
    let choice = chooser.choose_for(at, &BTreeSet::new(), &kind);
    choice.expect("there are candidates").vm
}

#[test]
fn the_least_expected_completion_time_is_chosen() {
    let (mut chooser, _) = chooser_of_two();
    report(&mut chooser, SECOND, "vm-0", (30 * MS, 1.0));
    report(&mut chooser, SECOND, "vm-1", (50 * MS, 2.0));
    assert_eq!(
        choose(&mut chooser, SECOND),
        "vm-1",
        "(50 + 10) / 2 < 30 + 10"
    );
    report(&mut chooser, SECOND, "vm-1", (80 * MS, 1.0));
    assert_eq!(choose(&mut chooser, SECOND), "vm-0");
}

/// Guards against sending all requests between two reports to the same upstream.
#[test]
fn requests_that_a_report_does_not_include_count() {
    let (mut chooser, kind) = chooser_of_two();
    report(&mut chooser, SECOND, "vm-0", (30 * MS, 1.0));
    report(&mut chooser, SECOND, "vm-1", (55 * MS, 1.0));
    let mut chosen = Vec::new();
    for ticket in 0..6 {
        let vm = choose(&mut chooser, SECOND);
        chooser.record_start_of(SECOND, &vm, ticket, &kind);
        chosen.push(vm);
    }
    assert_eq!(chosen[..3], ["vm-0", "vm-0", "vm-0"]);
    assert!(chosen[3..].contains(&"vm-1".to_owned()));
}

/// Guards against trusting an old report: after 2 s the entry's own requests decide.
#[test]
fn an_old_report_is_ignored() {
    let (mut chooser, kind) = chooser_of_two();
    report(&mut chooser, SECOND, "vm-0", (10 * SECOND, 1.0));
    report(&mut chooser, SECOND, "vm-1", (Duration::ZERO, 1.0));
    assert_eq!(choose(&mut chooser, 2 * SECOND), "vm-1");
    for ticket in 0..3 {
        chooser.record_start_of(2 * SECOND, &"vm-1".to_owned(), ticket, &kind);
    }
    assert_eq!(choose(&mut chooser, 4 * SECOND), "vm-0");
}

/// Guards against preferring a home that has restarted and states nothing.
#[test]
fn a_home_without_a_report_counts_as_the_mean() {
    let (mut chooser, kind) = chooser_of_two();
    report(&mut chooser, SECOND, "vm-0", (200 * MS, 1.0));
    chooser.record_start_of(SECOND, &"vm-1".to_owned(), 1, &kind);
    assert_eq!(choose(&mut chooser, SECOND), "vm-0");
    let latency = 10 * MS;
    let completion = Completion::Answered { latency };
    chooser.record_completion(SECOND + latency, &"vm-1".to_owned(), 1, completion);
}

/// Guards against staying with a slow upstream of the own zone while there is little traffic. Load pattern: one request after
/// the other, to an upstream of the own zone that takes 150 ms from the first or the 20th request on, and to two of other zones
/// that take 2 ms.
#[test]
fn little_traffic_leaves_a_slow_upstream() {
    for (seed, slow_from) in (0..20).flat_map(|seed| [(seed, 0), (seed, 20)]) {
        let mut chooser = ExpectedCompletion::new("a".to_owned(), seed, NEAR_ZONES);
        let candidates: Vec<Candidate> = ["a", "b", "c"]
            .iter()
            .enumerate()
            .map(|(index, zone)| Candidate {
                slots: 4,
                vm: format!("vm-{index}"),
                zone: (*zone).to_owned(),
            })
            .collect();
        chooser.set_candidates(Duration::ZERO, &candidates);
        let mut homes = [(); 3].map(|()| HomeCosts::default());
        let mut counts = [0; 3];
        let mut now = SECOND;
        let kind = RequestKind {
            cost_key: key("a", 0),
            target_latency: 200 * MS,
        };
        for ticket in 0..200 {
            let choice = chooser.choose_for(now, &BTreeSet::new(), &kind).unwrap();
            let index: usize = choice.vm["vm-".len()..].parse().unwrap();
            let latency = match index == 0 && ticket >= slow_from {
                true => 150 * MS,
                false => 2 * MS,
            };
            chooser.record_start_of(now, &choice.vm, ticket, &kind);
            now += latency;
            let home = &mut homes[index];
            home.record_answer(now, &kind.cost_key, latency);
            let work = home.state(now, &kind.cost_key, None).unwrap();
            chooser.record_work(now, &choice.vm, &kind, work);
            chooser.record_completion(now, &choice.vm, ticket, Completion::Answered { latency });
            counts[index] += u32::from(ticket >= slow_from);
            now += 100 * MS;
        }
        assert!(counts[0] <= 20, "seed {seed}, from {slow_from}: {counts:?}");
    }
}
