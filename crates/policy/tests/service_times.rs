//! Time that requests wait for an upstream.

use std::time::Duration;

use policy::Queue;
use policy::QueuedRequest;
use policy::RankedQueue;
use policy::RequestClass;
use policy::ServiceTimes;

const MS: Duration = Duration::from_millis(1);

const NOW: Duration = Duration::from_secs(7);

fn times(taken: &[(Duration, Duration)]) -> ServiceTimes {
    let mut times = ServiceTimes::default();
    for (target, taken) in taken {
        times.observe(*target, *taken);
    }
    times
}

#[test]
fn a_request_waits_as_long_as_it_can_still_meet_its_target_latency() {
    let times = times(&[(400 * MS, 120 * MS), (150 * MS, 48 * MS)]);
    let until = |target| times.wait_deadline(NOW, target, target, 0, 12);
    assert_eq!(until(400 * MS), Some(NOW + 280 * MS));
    assert_eq!(until(150 * MS), Some(NOW + 102 * MS));
}

#[test]
fn a_request_whose_turn_comes_too_late_is_refused_at_once() {
    let times = times(&[(400 * MS, 120 * MS)]);
    let until = |ahead| times.wait_deadline(NOW, 400 * MS, 400 * MS, ahead, 12);
    assert!(until(27).is_some(), "27 x 120 ms / 12 slots are 270 ms");
    assert_eq!(until(28), None, "28 x 120 ms / 12 slots are 280 ms");
}

#[test]
fn an_upstream_slower_than_the_target_latency_still_gets_requests() {
    let times = times(&[(400 * MS, 900 * MS)]);
    assert_eq!(
        times.wait_deadline(NOW, 400 * MS, 400 * MS, 0, 12),
        Some(NOW + 50 * MS)
    );
    assert_eq!(times.wait_deadline(NOW, 400 * MS, 400 * MS, 1, 12), None);
}

#[test]
fn an_upstream_without_observations_gets_requests() {
    let mut times = times(&[(400 * MS, 900 * MS)]);
    times.clear();
    let until = times.wait_deadline(NOW, 400 * MS, 400 * MS, 100, 12);
    assert_eq!(until, Some(NOW + 400 * MS));
}

#[test]
fn requests_of_later_ranks_are_not_counted_ahead() {
    let mut queue = RankedQueue::new(10);
    for rank in [0, 1, 1, 2] {
        queue.push(QueuedRequest {
            class: RequestClass::NewWork,
            deadline: Duration::MAX,
            id: rank.to_string(),
            item: (),
            rank,
            weight: 1,
            workspace: "acme".to_owned(),
        });
    }
    let ahead: Vec<_> = (0..4)
        .map(|rank| queue.count_ahead(rank, RequestClass::NewWork))
        .collect();
    assert_eq!(ahead, [1, 3, 4, 4]);
}

#[test]
fn a_request_waits_only_for_the_rest_of_its_target_latency() {
    let times = times(&[(400 * MS, 120 * MS)]);
    let until = |left| times.wait_deadline(NOW, 400 * MS, left, 0, 12);
    assert_eq!(until(300 * MS), Some(NOW + 180 * MS));
    assert_eq!(until(Duration::ZERO), Some(NOW + 50 * MS));
}
