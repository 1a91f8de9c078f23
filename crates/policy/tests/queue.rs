//! Order in which queues dispatch requests.

use std::collections::BTreeMap;
use std::time::Duration;

use policy::FairQueue;
use policy::FifoQueue;
use policy::PushResult;
use policy::Queue;
use policy::QueueBounds;
use policy::QueuedRequest;
use policy::RequestClass;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const BOUNDS: QueueBounds = QueueBounds {
    per_workspace: 200,
    total: 400,
};

fn request(workspace: &str, weight: u32, id: u64, deadline: Duration) -> QueuedRequest<Duration> {
    QueuedRequest {
        class: RequestClass::NewWork,
        deadline,
        id: format!("{workspace}{id}"),
        item: Duration::ZERO,
        rank: 0,
        weight,
        workspace: workspace.to_owned(),
    }
}

fn order(queue: &mut dyn Queue<Item = Duration>, count: usize) -> String {
    let ids = (0..count).map_while(|_| queue.pop(Duration::ZERO).next);
    ids.map(|request| request.id).collect::<Vec<_>>().join(" ")
}

fn fill(queue: &mut dyn Queue<Item = Duration>) {
    for (workspace, weight) in [("a", 4), ("b", 2), ("c", 1)] {
        for id in 0..8 {
            queue.push(request(workspace, weight, id, Duration::MAX));
        }
    }
}

#[test]
fn dispatches_follow_weights() {
    let mut fair = FairQueue::new(BOUNDS);
    fill(&mut fair);
    let mut fifo = FifoQueue::new(100);
    fill(&mut fifo);
    let (fair, fifo) = (order(&mut fair, 24), order(&mut fifo, 24));
    insta::assert_snapshot!(format!("{fair}\n{fifo}"));
}

#[test]
fn shares_match_weights_over_any_long_run() {
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let weights: Vec<u32> = (0..5).map(|_| rng.random_range(1..20)).collect();
        let mut queue = FairQueue::new(QueueBounds {
            per_workspace: 3_000,
            total: 15_000,
        });
        for (index, weight) in weights.iter().enumerate() {
            for id in 0..2_000 {
                queue.push(request(&index.to_string(), *weight, id, Duration::MAX));
            }
        }
        let mut served = BTreeMap::<String, u32>::new();
        for _ in 0..1_000 {
            let next = queue.pop(Duration::ZERO).next.expect("the queue is long");
            *served.entry(next.workspace).or_default() += 1;
        }
        let total: u32 = weights.iter().sum();
        for (index, weight) in weights.iter().enumerate() {
            let expected = 1_000.0 * f64::from(*weight) / f64::from(total);
            let got = f64::from(served.get(&index.to_string()).copied().unwrap_or(0));
            assert!(
                (got - expected).abs() <= 2.0,
                "seed {seed}: {got} {expected}"
            );
        }
    }
}

#[test]
fn every_request_leaves_exactly_once() {
    for seed in 0..100 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let bounds = QueueBounds {
            per_workspace: 5,
            total: 12,
        };
        let mut queue = FairQueue::new(bounds);
        let (mut pushed, mut left) = (0_u64, Vec::new());
        for step in 0..500 {
            let now = Duration::from_millis(step);
            match rng.random_range(0..10) {
                0..5 => {
                    let workspace = ["a", "b", "c", "d"][rng.random_range(0..4)];
                    let deadline = now + Duration::from_millis(rng.random_range(0..40));
                    pushed += 1;
                    match queue.push(request(workspace, rng.random_range(0..5), pushed, deadline)) {
                        PushResult::Accepted => {}
                        PushResult::Displaced(other) | PushResult::Full(other) => {
                            left.push(other.id)
                        }
                    }
                }
                5..8 => {
                    let popped = queue.pop(now);
                    assert!(popped.expired.iter().all(|request| request.deadline <= now));
                    assert!(popped.next.iter().all(|request| request.deadline > now));
                    left.extend(popped.expired.into_iter().map(|request| request.id));
                    left.extend(popped.next.map(|request| request.id));
                }
                8 => {
                    let id = format!("a{pushed}");
                    left.extend(queue.remove(&id).map(|request| request.id));
                }
                _ => {
                    let expired = queue.take_expired(now);
                    left.extend(expired.into_iter().map(|request| request.id));
                }
            }
            assert!(queue.len() <= bounds.total);
        }
        let rest = ["a", "b", "c", "d"].map(|workspace| queue.remove_workspace(workspace));
        left.extend(rest.into_iter().flatten().map(|request| request.id));
        assert!(queue.is_empty());
        assert_eq!(left.len() as u64, pushed, "seed {seed}");
        left.sort();
        left.dedup();
        assert_eq!(left.len() as u64, pushed, "seed {seed}");
    }
}

#[test]
fn a_full_queue_displaces_from_the_longest_workspace_queue() {
    let mut queue = FairQueue::new(QueueBounds {
        per_workspace: 10,
        total: 4,
    });
    let mut push = |workspace, id| match queue.push(request(workspace, 1, id, Duration::MAX)) {
        PushResult::Accepted => format!("{workspace}{id} accepted"),
        PushResult::Displaced(other) => format!("{workspace}{id} displaces {}", other.id),
        PushResult::Full(_) => format!("{workspace}{id} refused"),
    };
    let arrivals = (0..5).map(|id| ("a", id)).chain((0..3).map(|id| ("b", id)));
    let log: Vec<_> = arrivals
        .map(|(workspace, id)| push(workspace, id))
        .collect();
    insta::assert_snapshot!(log.join("\n"));
}

/// Simulates a workspace that sends `busy_rate` requests per second beside four others.
///
/// Returns the fraction of the others' requests that is served in time, and their p99 wait in ms.
fn simulate_busy_workspace(busy_rate: f64, queue: &mut dyn Queue<Item = Duration>) -> (f64, u128) {
    let mut rng = SmallRng::seed_from_u64(7);
    let rates = [busy_rate, 50.0, 50.0, 50.0, 50.0];
    let service_time = Duration::from_millis(2);
    let deadline = Duration::from_secs(1);
    let mut next_arrival = [Duration::ZERO; 5];
    let (mut arrived, mut id, mut now) = (0, 0, Duration::ZERO);
    let mut waits = Vec::new();
    while now < Duration::from_secs(60) {
        for (index, rate) in rates.iter().enumerate() {
            while next_arrival[index] <= now {
                let at = next_arrival[index];
                let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
                next_arrival[index] += Duration::from_secs_f64(gap);
                id += 1;
                arrived += u64::from(index != 0);
                let mut request = request(&index.to_string(), 1, id, at + deadline);
                request.item = at;
                queue.push(request);
            }
        }
        if let Some(next) = queue.pop(now).next
            && next.workspace != "0"
        {
            waits.push(now - next.item);
        }
        now += service_time;
    }
    waits.sort();
    let p99 = waits[waits.len() * 99 / 100].as_millis();
    (waits.len() as f64 / arrived as f64, p99)
}

#[test]
fn others_are_served_in_time_beside_a_workspace_at_five_times_its_share() {
    let alone = simulate_busy_workspace(50.0, &mut FairQueue::new(BOUNDS));
    let fair = simulate_busy_workspace(500.0, &mut FairQueue::new(BOUNDS));
    let fifo = simulate_busy_workspace(500.0, &mut FifoQueue::new(400));
    println!("alone {alone:?} fair {fair:?} fifo {fifo:?}");
    assert!(fair.0 >= 0.99, "{fair:?}");
    let three_service_times_ms = 6;
    assert!(
        fair.1 <= alone.1 + three_service_times_ms,
        "{fair:?} {alone:?}"
    );
    assert!(fifo.0 < 0.9, "{fifo:?}");
}
