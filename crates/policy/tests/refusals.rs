//! Recognition of refused requests that callers repeat.

use std::time::Duration;

use policy::RecentRefusals;

const MS: Duration = Duration::from_millis(1);

#[test]
fn a_repeated_request_is_recognised_once() {
    let mut refusals = RecentRefusals::default();
    let same = "GET /lists/1".to_owned();
    refusals.record(100 * MS, &same, 1_600 * MS, 95 * MS);
    let other = "GET /lists/2".to_owned();
    assert_eq!(
        refusals.take_first_arrival(400 * MS, &other, 1_600 * MS),
        None
    );
    assert_eq!(
        refusals.take_first_arrival(400 * MS, &same, 1_900 * MS),
        None,
        "another caller sends the same request"
    );
    let first = refusals.take_first_arrival(400 * MS, &same, 1_603 * MS);
    assert_eq!(first, Some(95 * MS));
    assert_eq!(
        refusals.take_first_arrival(410 * MS, &same, 1_600 * MS),
        None
    );
}

#[test]
fn refusals_are_evicted_after_their_deadline_or_beyond_the_maximum() {
    let mut refusals = RecentRefusals::default();
    let id = |number: u64| format!("request-{number}");
    refusals.record(Duration::ZERO, &id(0), 500 * MS, Duration::ZERO);
    assert_eq!(
        refusals.take_first_arrival(600 * MS, &id(0), 500 * MS),
        None
    );
    for number in 0..10_000 {
        refusals.record(600 * MS, &id(number), 9_000 * MS, 600 * MS);
    }
    let known = |refusals: &mut RecentRefusals, number| {
        refusals
            .take_first_arrival(700 * MS, &id(number), 9_000 * MS)
            .is_some()
    };
    assert!(!known(&mut refusals, 5_000));
    assert!(known(&mut refusals, 9_999));
}

#[test]
fn refusals_that_were_repeated_do_not_displace_others() {
    let mut refusals = RecentRefusals::default();
    let waiting = "waiting".to_owned();
    let deadline = 60_000 * MS;
    refusals.record(MS, &waiting, deadline, MS);
    for number in 0..10_000 {
        let fingerprint = format!("repeated-{number}");
        refusals.record(MS, &fingerprint, deadline, MS);
        let first = refusals.take_first_arrival(MS, &fingerprint, deadline);
        assert_eq!(first, Some(MS));
    }
    let first = refusals.take_first_arrival(MS, &waiting, deadline);
    assert_eq!(first, Some(MS));
}
