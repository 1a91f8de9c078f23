//! Early refusal of new work whose calls will be refused.

use std::time::Duration;

use policy::CallForecast;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const MS: Duration = Duration::from_millis(1);

const SECOND: Duration = Duration::from_secs(1);

const COMMANDS: &str = "commands";

const READS: &str = "reads";

/// Time between two commands, and between two reads.
const INTERVAL: Duration = Duration::from_millis(50);

/// Number of calls that each command makes.
const CALLS: u32 = 2;

/// Time for which the called service refuses calls.
const OUTAGE: std::ops::Range<Duration> = Duration::from_secs(20)..Duration::from_secs(30);

const RUN_TIME: Duration = Duration::from_secs(40);

#[derive(Debug, Default)]
struct RunResult {
    /// Commands that failed since a call was refused.
    failed: u32,
    /// Commands that were refused early, before and during the outage.
    refused_early: u32,
    /// Commands that were refused early more than a second after the outage.
    refused_late: u32,
    refused_reads: u32,
}

/// Replays commands that make two calls each, and reads that make none. The called service refuses
/// `refused_percent` of the calls during the outage.
fn replay(seed: u64, refused_percent: u32, is_refusing_early: bool) -> RunResult {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut forecast = CallForecast::default();
    let mut result = RunResult::default();
    let service = "sensor-lookup".to_owned();
    let mut now = Duration::ZERO;
    while now < RUN_TIME {
        now += INTERVAL.mul_f64(rng.random_range(0.5..1.5));
        if forecast.admits(now, READS) {
            forecast.record_parent(now, READS);
        } else {
            result.refused_reads += 1;
        }
        if !forecast.admits(now, COMMANDS) && is_refusing_early {
            let refused = match now < OUTAGE.end + SECOND {
                true => &mut result.refused_early,
                false => &mut result.refused_late,
            };
            *refused += 1;
            continue;
        }
        forecast.record_parent(now, COMMANDS);
        // A command ends with the first call that is refused.
        for _ in 0..CALLS {
            let is_refused = OUTAGE.contains(&now) && rng.random_range(0..100) < refused_percent;
            forecast.record_call(now, COMMANDS, &service);
            forecast.record_outcome(now, &service, is_refused);
            if is_refused {
                result.failed += 1;
                break;
            }
        }
    }
    result
}

/// Guards against work that is begun only to fail, while the service that it calls refuses all calls.
#[test]
fn few_commands_fail_while_all_of_their_calls_are_refused() {
    for seed in 0..20 {
        let without = replay(seed, 100, false);
        let with = replay(seed, 100, true);
        assert!(with.failed * 4 < without.failed, "{with:?}, {without:?}");
        assert_eq!((with.refused_late, with.refused_reads), (0, 0), "{with:?}");
    }
}

#[test]
fn fewer_commands_fail_while_half_of_their_calls_are_refused() {
    for seed in 0..20 {
        let without = replay(seed, 50, false);
        let with = replay(seed, 50, true);
        assert!(with.failed * 2 < without.failed, "{with:?}, {without:?}");
        assert_eq!((with.refused_late, with.refused_reads), (0, 0), "{with:?}");
    }
}

#[test]
fn no_command_is_refused_early_while_no_call_is_refused() {
    for seed in 0..20 {
        let result = replay(seed, 0, true);
        assert_eq!((result.refused_early, result.refused_late), (0, 0));
    }
}

/// Returns a forecast in which each request of a route made `calls` of ten calls, of which `refused` of ten were refused.
fn forecast(calls: u32, refused: u32) -> CallForecast {
    let mut forecast = CallForecast::default();
    let service = "sensor-lookup".to_owned();
    for index in 0..10 {
        forecast.record_parent(MS, COMMANDS);
        if index < calls {
            forecast.record_call(MS, COMMANDS, &service);
        }
        forecast.record_outcome(MS, &service, index < refused);
    }
    forecast
}

#[test]
fn one_in_ten_passes_until_the_refusals_are_a_second_old() {
    let mut refusing = forecast(10, 3);
    let admitted = (0..100).filter(|_| refusing.admits(2 * MS, COMMANDS));
    assert_eq!(admitted.count(), 10);
    assert!(refusing.admits(SECOND + MS, COMMANDS));
}

#[test]
fn only_routes_that_probably_call_a_refusing_service_are_refused() {
    let admits = |calls, refused| forecast(calls, refused).admits(2 * MS, COMMANDS);
    assert!(!admits(5, 3));
    assert!(admits(4, 10), "four in ten requests make a call");
    assert!(admits(10, 2), "a fifth of the calls was refused");
    assert!(forecast(10, 10).admits(2 * MS, READS));
}

#[test]
fn what_routes_call_is_forgotten() {
    let mut forecast = forecast(10, 10);
    let service = "sensor-lookup".to_owned();
    let later = 120 * SECOND;
    for _ in 0..3 {
        forecast.record_outcome(later, &service, true);
    }
    assert!(forecast.admits(later, COMMANDS));
}
