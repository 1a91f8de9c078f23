//! Calls that upstreams make while they run requests.

mod service_under_calls;

use std::time::Duration;

use policy::PushResult;
use policy::Queue;
use policy::QueuedRequest;
use policy::RankedQueue;
use policy::RankedRequest;
use policy::RankedWorkspace;
use policy::RequestClass;
use policy::RunningParent;
use policy::ServiceTimes;
use policy::compute_rank;

use service_under_calls::CallRule;
use service_under_calls::RunResult;
use service_under_calls::Scenario;

const MS: Duration = Duration::from_millis(1);

const SEEDS: u64 = 10;

/// Calls behind urgent reads at 1.1 times the capacity.
const OVERLOAD: Scenario = Scenario {
    call_percent: 15,
    dying_percent: 0,
    load_percent: 110,
    parent_priority: 0,
    rule: CallRule::Parent,
    seed: 0,
};

fn run_seeds(scenario: &Scenario) -> Vec<RunResult> {
    (0..SEEDS)
        .map(|seed| service_under_calls::run(&Scenario { seed, ..*scenario }))
        .collect()
}

fn request(id: &str, rank: u32, class: RequestClass, deadline: Duration) -> QueuedRequest<()> {
    QueuedRequest {
        class,
        deadline,
        id: id.to_owned(),
        item: (),
        rank,
        weight: 1,
        workspace: String::new(),
    }
}

fn next(queue: &mut RankedQueue<()>, now: Duration) -> Option<String> {
    queue.pop(now).next.map(|request| request.id)
}

fn parent(rank: u32, is_repeatable: bool, deadline: Duration) -> RunningParent {
    RunningParent {
        deadline,
        id: format!("parent-{rank}"),
        is_repeatable,
        rank,
        route: Some(format!("route-{rank}")),
    }
}

/// Guards against calls that are refused, and fail their parents, while new work of equal urgency runs.
#[test]
fn calls_behind_urgent_reads_at_overload_are_answered_in_time() {
    for result in run_seeds(&OVERLOAD) {
        assert!(result.refused_call_percent() < 2.0, "{result:?}");
        assert!(result.refused_reads > 0, "the load is no overload");
    }
}

/// Shows that the replay is harder than the rank and the bound of a call's own route can bear.
#[test]
fn calls_by_the_rank_and_bound_of_their_own_route_are_refused_at_overload() {
    let scenario = Scenario {
        rule: CallRule::OwnRoute,
        ..OVERLOAD
    };
    for result in run_seeds(&scenario) {
        assert!(result.refused_call_percent() > 20.0, "{result:?}");
    }
}

/// Guards against starvation of calls whose parents are less urgent than the reads.
#[test]
fn calls_of_less_urgent_parents_are_not_starved_by_reads() {
    let scenario = Scenario {
        call_percent: 4,
        parent_priority: 1,
        ..OVERLOAD
    };
    for result in run_seeds(&scenario) {
        assert!(result.refused_call_percent() < 5.0, "{result:?}");
    }
}

/// Guards against work for a parent whose upstream died while its call waited.
#[test]
fn calls_of_dead_parents_leave_the_queue() {
    let scenario = Scenario {
        dying_percent: 20,
        parent_priority: 1,
        ..OVERLOAD
    };
    for result in run_seeds(&scenario) {
        assert!(result.cancelled_calls > 0, "{result:?}");
        assert_eq!(result.started_for_dead_parents, 0, "{result:?}");
    }
}

#[test]
fn a_call_ranks_before_new_work_as_urgent_as_its_parent() {
    let new_work = |workspace, route_priority| {
        compute_rank(&RankedRequest::NewWork {
            is_late: false,
            route_priority,
            workspace,
        })
    };
    let in_workspace = |priority| {
        Some(RankedWorkspace {
            priority: Some(priority),
        })
    };
    for priority in [0, 1, 7, 300] {
        let open = new_work(None, priority);
        let with_workspace = new_work(in_workspace(priority), 9);
        let more_urgent = priority.checked_sub(1).map(|urgent| new_work(None, urgent));
        for parent_rank in [open, with_workspace] {
            let call = compute_rank(&RankedRequest::Call { parent_rank });
            let order = [
                (call, RequestClass::CallOfUnrepeatable),
                (call, RequestClass::CallOfRepeatable),
                (open, RequestClass::NewWork),
                (with_workspace, RequestClass::NewWork),
            ];
            assert!(order.is_sorted_by(|a, b| a < b), "{order:?}");
            assert!(more_urgent.is_none_or(|rank| rank < call));
            let nested = compute_rank(&RankedRequest::Call { parent_rank: call });
            assert_eq!(nested, call, "a call of a call is as urgent");
        }
    }
}

#[test]
fn calls_of_parents_that_may_not_run_again_go_first() {
    let mut queue = RankedQueue::new(10);
    let classes = [
        ("new", RequestClass::NewWork),
        ("repeatable", RequestClass::of_call(true)),
        ("unrepeatable", RequestClass::of_call(false)),
    ];
    for (id, class) in classes {
        queue.push(request(id, 0, class, Duration::MAX));
    }
    let order: Vec<_> = (0..3).map_while(|_| next(&mut queue, MS)).collect();
    assert_eq!(order, ["unrepeatable", "repeatable", "new"]);
}

#[test]
fn calls_displace_the_least_urgent_new_work_and_no_other_calls() {
    let mut queue = RankedQueue::new(3);
    let new_work = |id, rank| request(id, rank, RequestClass::NewWork, Duration::MAX);
    let call = |id, rank| request(id, rank, RequestClass::of_call(true), Duration::MAX);
    for (id, rank) in [("urgent", 0), ("older", 2), ("newer", 2)] {
        queue.push(new_work(id, rank));
    }
    for displaced in ["newer", "older", "urgent"] {
        match queue.push(call(displaced, 5)) {
            PushResult::Displaced(request) => assert_eq!(request.id, displaced),
            other => panic!("{other:?}"),
        }
    }
    assert!(matches!(queue.push(call("more", 0)), PushResult::Full(_)));
    assert!(matches!(
        queue.push(new_work("new", 0)),
        PushResult::Full(_)
    ));
    assert_eq!(queue.len(), 3);
}

#[test]
fn calls_do_not_starve_new_work() {
    let mut queue = RankedQueue::new(100);
    queue.push(request("new", 9, RequestClass::NewWork, Duration::MAX));
    for _ in 0..8 {
        queue.push(request(
            "call",
            0,
            RequestClass::of_call(false),
            Duration::MAX,
        ));
    }
    let order: Vec<_> = (0..8).map_while(|_| next(&mut queue, MS)).collect();
    assert!(order.iter().any(|id| id == "new"), "{order:?}");
}

/// Guards against a cycle of services that blocks itself: all slots belong to parents whose calls wait for a slot.
#[test]
fn a_call_that_waits_for_a_slot_of_its_parent_ends_at_the_deadline() {
    let mut times = ServiceTimes::default();
    times.observe(150 * MS, 50 * MS);
    let deadline = 1_500 * MS;
    let until = times.call_wait_deadline(MS, 150 * MS, deadline, 1, 1);
    assert_eq!(until, Some(1_450 * MS));
    let mut queue = RankedQueue::new(10);
    let class = RequestClass::of_call(false);
    queue.push(request("call", 0, class, until.unwrap()));
    assert!(queue.take_expired(1_449 * MS).is_empty());
    assert_eq!(queue.take_expired(1_450 * MS)[0].id, "call");
}

#[test]
fn a_call_waits_no_longer_than_its_parent() {
    let mut times = ServiceTimes::default();
    times.observe(150 * MS, 50 * MS);
    let until = |deadline, ahead| times.call_wait_deadline(10 * MS, 150 * MS, deadline, ahead, 1);
    assert_eq!(until(15 * MS, 0), Some(15 * MS));
    assert_eq!(until(10 * MS, 0), None);
    assert!(until(1_500 * MS, 28).is_some(), "28 x 50 ms are 1,400 ms");
    assert_eq!(until(1_500 * MS, 29), None, "29 x 50 ms are 1,450 ms");
}

#[test]
fn the_parent_of_a_call_is_the_most_urgent_request_with_its_deadline() {
    let running = [
        parent(0, false, 2_000 * MS),
        parent(4, false, 1_510 * MS),
        parent(3, true, 1_549 * MS),
        parent(3, false, 1_460 * MS),
    ];
    let find = |deadline| RunningParent::find_by_deadline(&running, deadline);
    let without_route = RunningParent {
        route: None,
        ..running[3].clone()
    };
    assert_eq!(find(1_500 * MS), Some(without_route));
    assert_eq!(find(1_599 * MS), Some(running[2].clone()));
    assert_eq!(find(2_050 * MS), Some(running[0].clone()));
    assert_eq!(find(2_051 * MS), None);
}

/// Guards against calls that are taken for new work since their time limit is shorter than that of their parent, and against
/// callers on the same machine whose requests are taken for calls.
#[test]
fn an_id_that_extends_that_of_a_running_request_identifies_its_call() {
    let running = [parent(0, false, 2_000 * MS), parent(4, true, 500 * MS)];
    let find = |id| RunningParent::find_by_id(&running, id);
    assert_eq!(find("parent-4.1f"), Some(running[1].clone()));
    assert_eq!(find("parent-4"), None);
    assert_eq!(find("parent-5.1f"), None);
    assert_eq!(find("parent-4.1f.2a"), None);
}

/// A request whose upstream calls its own service and keeps its slot until the call ends.
#[derive(Debug)]
struct CyclicParent {
    call_ended: Option<Duration>,
    deadline: Duration,
}

/// Guards against a service that calls itself and stops for good once all of its slots belong to parents.
#[test]
fn a_cycle_of_services_serves_again_after_the_deadlines_of_its_parents() {
    const SLOTS: usize = 4;
    let times = ServiceTimes::default();
    let class = RequestClass::of_call(false);
    let mut queue = RankedQueue::new(100);
    let mut parents: Vec<_> = (0..SLOTS as u32)
        .map(|index| CyclicParent {
            call_ended: None,
            deadline: (1_500 + 10 * index) * MS,
        })
        .collect();
    for (index, parent) in parents.iter().enumerate() {
        let until = times.call_wait_deadline(MS, 150 * MS, parent.deadline, index + 1, 4);
        queue.push(request(&index.to_string(), 0, class, until.unwrap()));
    }
    let new_work = request("new", 0, RequestClass::NewWork, 10_000 * MS);
    queue.push(new_work);
    let mut new_started = None;
    for ms in 1..3_000 {
        let now = ms * MS;
        for expired in queue.take_expired(now) {
            let parent = &mut parents[expired.id.parse::<usize>().unwrap()];
            parent.call_ended = Some(now);
        }
        // A parent whose call has failed ends and frees its slot.
        let running = parents.iter().filter(|parent| parent.call_ended.is_none());
        if running.count() < SLOTS && new_started.is_none() {
            while let Some(id) = next(&mut queue, now) {
                match id.parse::<usize>() {
                    Ok(index) => parents[index].call_ended = Some(now),
                    Err(_) => new_started = Some(now),
                }
            }
        }
    }
    assert!(new_started.is_some(), "new work starts: {parents:?}");
    let ends_in_time = |parent: &CyclicParent| {
        parent
            .call_ended
            .is_some_and(|ended| ended <= parent.deadline)
    };
    assert!(parents.iter().all(ends_in_time), "{parents:?}");
}
