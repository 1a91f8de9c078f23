//! Reads of the log by fleets of several sizes while records are appended all the time.

use std::time::Duration;

use membership::ReadPacing;

/// Time for which the reads of a fleet are counted.
const PERIOD: Duration = Duration::from_secs(60);

/// Time between two records.
const APPEND_INTERVAL: Duration = Duration::from_millis(20);

/// Uptime of a process that has joined long ago.
const SETTLED: Duration = Duration::from_secs(60);

const PACING: ReadPacing = ReadPacing {
    fleet_reads_per_second: 80,
    min_pause: Duration::from_millis(250),
};

/// Returns the reads per second of all members, each of which reads when there is a record and then pauses.
fn fleet_reads_per_second(pacing: ReadPacing, members: usize) -> f64 {
    let mut reads = 0;
    let mut now = Duration::ZERO;
    while now < PERIOD {
        reads += members;
        now += pacing.pause(members, SETTLED, false).max(APPEND_INTERVAL);
    }
    reads as f64 / PERIOD.as_secs_f64()
}

#[test]
fn reads_of_a_fleet_stay_at_a_constant_rate_up_to_the_longest_pause() {
    for members in [30, 50, 80] {
        let reads = fleet_reads_per_second(PACING, members);
        assert!(reads < 82.0, "{members} members: {reads}");
    }
    let unpaced = ReadPacing {
        fleet_reads_per_second: 0,
        ..PACING
    };
    assert!(fleet_reads_per_second(unpaced, 80) > 300.0);
}

#[test]
fn small_fleets_keep_the_shortest_pause_and_large_ones_the_longest() {
    assert_eq!(PACING.pause(0, SETTLED, false), Duration::from_millis(250));
    assert_eq!(PACING.pause(11, SETTLED, false), Duration::from_millis(250));
    assert_eq!(PACING.pause(40, SETTLED, false), Duration::from_millis(500));
    assert_eq!(PACING.pause(195, SETTLED, false), Duration::from_secs(1));
    assert_eq!(
        PACING.pause(usize::MAX, SETTLED, false),
        Duration::from_secs(1)
    );
}

#[test]
fn a_process_that_has_just_started_pauses_for_the_shortest_time() {
    let pause = PACING.pause(195, Duration::from_secs(2), false);
    assert_eq!(pause, Duration::from_millis(250));
}

#[test]
fn a_process_pauses_for_the_shortest_time_while_the_log_lacks_declarations() {
    let pause = PACING.pause(195, SETTLED, true);
    assert_eq!(pause, Duration::from_millis(250));
}
