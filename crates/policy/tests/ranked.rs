//! Queue ordered by rank, and rate limit of cold upstreams.

use std::time::Duration;

use policy::PushResult;
use policy::Queue;
use policy::QueuedRequest;
use policy::RankedQueue;
use policy::RankedRequest;
use policy::RankedWorkspace;
use policy::RequestClass;
use policy::StartRateLimiter;
use policy::compute_rank;

const MS: Duration = Duration::from_millis(1);

fn request(id: &str, rank: u32, deadline: Duration) -> QueuedRequest<()> {
    QueuedRequest {
        class: RequestClass::NewWork,
        deadline,
        id: id.to_owned(),
        item: (),
        rank,
        weight: 1,
        workspace: "acme".to_owned(),
    }
}

fn new_work(workspace: Option<Option<u32>>, route_priority: u32, is_late: bool) -> RankedRequest {
    RankedRequest::NewWork {
        is_late,
        route_priority,
        workspace: workspace.map(|priority| RankedWorkspace { priority }),
    }
}

fn next(queue: &mut RankedQueue<()>, now: Duration) -> Option<String> {
    queue.pop(now).next.map(|request| request.id)
}

#[test]
fn urgent_requests_go_first_and_equals_in_order_of_arrival() {
    let mut queue = RankedQueue::new(10);
    for (id, rank) in [("late", 2), ("a", 1), ("b", 1), ("first", 0)] {
        assert_eq!(
            queue.push(request(id, rank, Duration::MAX)),
            PushResult::Accepted
        );
    }
    let order: Vec<_> = (0..4).map_while(|_| next(&mut queue, MS)).collect();
    assert_eq!(order, ["first", "a", "b", "late"]);
    assert_eq!(next(&mut queue, MS), None);
}

#[test]
fn ranks_follow_the_workspace_then_calls_of_upstreams_then_the_route_then_the_target_latency() {
    let urgent_workspace = compute_rank(&new_work(Some(Some(0)), 9, true));
    let call = compute_rank(&new_work(None, 1, false));
    let urgent_route = compute_rank(&new_work(Some(Some(1)), 1, false));
    let urgent_route_late = compute_rank(&new_work(Some(Some(1)), 1, true));
    let other_route = compute_rank(&new_work(Some(Some(1)), 2, false));
    let no_priority = compute_rank(&new_work(Some(None), 2, false));
    let ranks = [
        urgent_workspace,
        call,
        urgent_route,
        urgent_route_late,
        other_route,
        no_priority,
    ];
    assert!(ranks.is_sorted_by(|a, b| a < b), "{ranks:?}");
    assert_eq!(
        compute_rank(&new_work(Some(Some(u32::MAX)), 1, false)),
        u32::MAX
    );
}

#[test]
fn no_rank_starves() {
    let mut queue = RankedQueue::new(100);
    queue.push(request("patient", 9, Duration::MAX));
    let mut popped = 0;
    loop {
        queue.push(request("urgent", 0, Duration::MAX));
        popped += 1;
        if next(&mut queue, MS).as_deref() == Some("patient") {
            break;
        }
        assert!(popped < 16, "the request of the last rank starves");
    }
}

#[test]
fn requests_leave_when_their_deadline_passes_or_they_are_cancelled() {
    let mut queue = RankedQueue::new(3);
    queue.push(request("short", 0, 5 * MS));
    queue.push(request("long", 0, Duration::MAX));
    queue.push(request("gone", 0, Duration::MAX));
    assert!(matches!(
        queue.push(request("more", 0, Duration::MAX)),
        PushResult::Full(_)
    ));
    assert_eq!(queue.remove("gone").unwrap().id, "gone");
    let popped = queue.pop(5 * MS);
    assert_eq!(popped.expired[0].id, "short");
    assert_eq!(popped.next.unwrap().id, "long");
    assert!(queue.is_empty());
}

#[test]
fn a_cold_upstream_gets_at_most_its_rate_and_one_in_any_second() {
    let mut limiter = StartRateLimiter::default();
    limiter.set_cold_rate(19);
    limiter.restart(5_000 * MS);
    let mut sent = Vec::new();
    for ms in 0..5_000 {
        let now = ms * MS;
        if limiter.allows(now) {
            limiter.record_sent(now);
            sent.push(now);
        }
    }
    for (index, from) in sent.iter().enumerate() {
        let window = sent[index..].iter().filter(|at| **at < *from + 1_000 * MS);
        assert!(window.count() <= 20);
    }
    assert!(sent.len() > 4 * 19, "the rate is used");
    assert!(limiter.allows(5_001 * MS) && limiter.allows(5_001 * MS));
}

#[test]
fn an_upstream_that_becomes_cold_again_is_rate_limited_at_once() {
    let mut limiter = StartRateLimiter::default();
    limiter.set_cold_rate(5);
    assert!(!limiter.is_cold(10 * MS));
    limiter.extend_cold_until(1_000 * MS);
    limiter.record_sent(10 * MS);
    limiter.record_sent(10 * MS);
    assert!(limiter.is_cold(10 * MS) && !limiter.allows(11 * MS));
    limiter.extend_cold_until(500 * MS);
    assert!(
        limiter.is_cold(900 * MS),
        "an earlier end of the cold time changes nothing"
    );
}

#[test]
fn an_upstream_that_becomes_cold_after_more_load_than_its_cold_rate_still_gets_requests() {
    let mut limiter = StartRateLimiter::default();
    limiter.set_cold_rate(20);
    for ms in (0..10_000).step_by(20) {
        limiter.record_sent(ms * MS);
    }
    limiter.extend_cold_until(15_000 * MS);
    assert!(limiter.allows(10_050 * MS));
}
