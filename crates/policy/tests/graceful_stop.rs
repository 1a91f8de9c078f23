//! Requests that arrive while a process stops.

use std::time::Duration;

use policy::GracefulStop;

const MS: Duration = Duration::from_millis(1);

/// Returns for each tenth of a stop of `timeout` whether a request with a time limit of `limit` starts.
fn admitted(timeout: Duration, limit: Duration) -> String {
    let started = 100_000 * MS;
    let stop = GracefulStop { started, timeout };
    let tenths = (0..10).map(|tenth| started + timeout * tenth / 10);
    tenths
        .map(|now| match stop.admits(now, now + limit) {
            true => 'x',
            false => '-',
        })
        .collect()
}

#[test]
fn a_request_that_could_still_run_at_the_end_starts_only_early_in_the_stop() {
    assert_eq!(admitted(6_000 * MS, 500 * MS), "xxxxxxxxx-");
    assert_eq!(admitted(6_000 * MS, 3_000 * MS), "xxxxx-----");
    assert_eq!(admitted(6_000 * MS, 12_000 * MS), "xxxx------");
    assert_eq!(admitted(10_000 * MS, 12_000 * MS), "xx--------");
    assert_eq!(admitted(30_000 * MS, 5_000 * MS), "xxxxxxxxx-");
}
