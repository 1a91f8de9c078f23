//! Requests that entries send to a version on trial, summed over the entries.

use std::collections::VecDeque;
use std::time::Duration;

use policy::RolloutAllotment;
use policy::RolloutSchedule;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const MAX_EXTRA: f64 = 50.0;
const MAX_SHARE: f64 = 0.1;

struct Case {
    /// Fraction of requests that never get an answer.
    lost: f64,
    name: &'static str,
    /// Fraction of requests before which the entry restarts.
    restarts: f64,
    /// Fraction of requests before which all entries restart.
    restarts_of_all: f64,
    /// Exponent of the entries' ranks by traffic.
    skew: f64,
}

fn allotment(rank: usize, entries: usize) -> RolloutAllotment {
    let entries = entries as f64;
    RolloutAllotment::new((rank as f64 + 0.5) / entries, MAX_EXTRA / entries)
}

/// Guards against a sum over entries that exceeds the bound, and against trials that get much less than the schedule's share.
#[test]
fn sum_over_entries_stays_within_the_bound_and_near_the_schedule() {
    let calm = Case {
        lost: 0.0,
        name: "calm",
        restarts: 0.0,
        restarts_of_all: 0.0,
        skew: 1.0,
    };
    let cases = [
        Case {
            lost: 0.3,
            name: "lost answers",
            ..calm
        },
        Case {
            name: "restarts of busy entries",
            restarts: 0.005,
            ..calm
        },
        Case {
            name: "restarts of all entries",
            restarts_of_all: 0.000_2,
            ..calm
        },
        Case {
            name: "even traffic",
            skew: 0.0,
            ..calm
        },
        Case {
            lost: 0.1,
            name: "skewed traffic",
            restarts: 0.001,
            restarts_of_all: 0.000_1,
            skew: 2.0,
        },
        calm,
    ];
    for (case, entries) in cases
        .iter()
        .flat_map(|case| [7, 73, 530].map(|count| (case, count)))
    {
        for seed in 0..5 {
            let mut random = SmallRng::seed_from_u64(seed);
            let mut allotments: Vec<_> =
                (0..entries).map(|rank| allotment(rank, entries)).collect();
            let schedule = RolloutSchedule::new(Duration::from_secs(30), MAX_SHARE);
            let mut running = VecDeque::new();
            let (mut sent, mut wanted) = (0.0, 0.0);
            for number in 0..30_000_u32 {
                // Ranks by traffic and by phase differ.
                let drawn = random.random::<f64>().powf(1.0 + case.skew) * entries as f64;
                let entry = (drawn as usize * 31 + seed as usize) % entries;
                if random.random::<f64>() < case.restarts_of_all {
                    allotments = (0..entries).map(|rank| allotment(rank, entries)).collect();
                }
                if random.random::<f64>() < case.restarts {
                    allotments[entry] = allotment(entry, entries);
                }
                sent += f64::from(u8::from(allotments[entry].try_take()));
                let bound = MAX_SHARE * f64::from(number + 1) + MAX_EXTRA;
                assert!(
                    sent <= bound,
                    "{}, {entries} entries, seed {seed}: {sent} of {number}",
                    case.name
                );
                running.push_back(entry);
                if running.len() > 100 {
                    let answered = running.pop_front().expect("there are some");
                    if random.random::<f64>() >= case.lost {
                        let share = schedule.trial_share(Duration::from_millis(number.into()));
                        allotments[answered].record_answer(share);
                        wanted += share;
                    }
                }
            }
            // With more than 100 entries, the bound on the sum lowers the credit at the start.
            assert!(
                entries > 100 || sent >= 0.95 * wanted,
                "{}, {entries} entries, seed {seed}: {sent} of {wanted}",
                case.name
            );
        }
    }
}

/// Guards against entries that together exceed the bound when each has just enough answers for its next request.
#[test]
fn bound_holds_when_all_entries_send_as_early_as_they_can() {
    for (entries, share) in [1, 7, 73, 200, 530]
        .into_iter()
        .flat_map(|count| [(count, 0.02), (count, 0.08)])
    {
        let mut allotments: Vec<_> = (0..entries).map(|rank| allotment(rank, entries)).collect();
        let (mut answers, mut sent) = (0.0, 0.0);
        for _ in 0..5 {
            for allotment in allotments.iter_mut().rev() {
                while !allotment.try_take() {
                    allotment.record_answer(share);
                    answers += 1.0;
                }
                sent += 1.0;
                let bound = MAX_SHARE * answers + MAX_EXTRA;
                assert!(
                    sent <= bound,
                    "{entries} entries at {share}: {sent} for {answers}"
                );
            }
        }
    }
}

/// Guards against a burst of requests to a trial that was not available for a while.
#[test]
fn unused_credit_is_bounded() {
    let mut allotment = allotment(3, 7);
    (0..10_000).for_each(|_| allotment.record_answer(0.08));
    let taken = (0..100).filter(|_| allotment.try_take()).count();
    assert_eq!(taken, 8);
}
