//! Choice of upstreams, hedges and retries for keyless services.

mod fleet_of_upstreams;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use fleet_of_upstreams::ChooserFactory;
use fleet_of_upstreams::RunResult;
use fleet_of_upstreams::Scenario;
use policy::BalancedChooser;
use policy::Candidate;
use policy::Chooser;
use policy::Completion;
use policy::HedgePolicy;
use policy::LeastReportedLoad;
use policy::Outcome;
use policy::Reason;
use policy::RequestHead;
use policy::RetryBudget;
use policy::RetryDecision;
use policy::RoundRobin;
use policy::decide_retry;

fn balanced(zone: &str, seed: u64) -> Box<dyn Chooser> {
    Box::new(BalancedChooser::new(zone.to_owned(), seed))
}

fn round_robin(_zone: &str, _seed: u64) -> Box<dyn Chooser> {
    Box::new(RoundRobin::default())
}

fn least_load(_zone: &str, _seed: u64) -> Box<dyn Chooser> {
    Box::new(LeastReportedLoad::default())
}

fn run(chooser: ChooserFactory, stragglers: usize, hedge_percent: f64, seed: u64) -> RunResult {
    fleet_of_upstreams::run(&Scenario {
        chooser,
        hedge_percent,
        seed,
        stragglers,
    })
}

#[test]
fn stragglers_raise_p99_by_at_most_half() {
    for seed in 0..2 {
        let without_stragglers = run(balanced, 0, 5.0, seed);
        for stragglers in [1, 2] {
            let balanced_run = run(balanced, stragglers, 5.0, seed);
            println!("{stragglers}: {without_stragglers:?} {balanced_run:?}");
            assert!(
                balanced_run.p99 <= without_stragglers.p99 * 3 / 2,
                "{balanced_run:?} {without_stragglers:?}"
            );
            assert!(balanced_run.extra_percent <= 5.0, "{balanced_run:?}");
        }
    }
}

#[test]
fn hedges_reduce_tail_latency_until_stragglers_are_ejected() {
    let hedged = run(balanced, 2, 5.0, 0);
    let unhedged = run(balanced, 2, 0.0, 0);
    println!("hedged {hedged:?} unhedged {unhedged:?}");
    assert!(hedged.p999 * 2 < unhedged.p999, "{hedged:?} {unhedged:?}");
    assert!(hedged.extra_percent <= 5.0, "{hedged:?}");
}

#[test]
fn stragglers_raise_tail_latency_of_the_baselines() {
    let without_stragglers = run(balanced, 0, 5.0, 0);
    for baseline in [round_robin, least_load] {
        let baseline = run(baseline, 1, 0.0, 0);
        println!("baseline {baseline:?}");
        assert!(baseline.p99 > without_stragglers.p99 * 3, "{baseline:?}");
    }
}

fn candidates(zones: &[&str]) -> Vec<Candidate> {
    zones
        .iter()
        .enumerate()
        .map(|(index, zone)| Candidate {
            slots: 10,
            vm: format!("vm-{index}"),
            zone: (*zone).to_owned(),
        })
        .collect()
}

/// Sends requests one after another, each answered after `latency`, and returns their number by upstream.
fn send_sequentially(
    chooser: &mut dyn Chooser,
    start: Duration,
    count: u64,
    latency: impl Fn(&str) -> u64,
) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for step in 0..count {
        let now = start + Duration::from_millis(10 * step);
        let choice = chooser
            .choose(now, &BTreeSet::new())
            .expect("there are upstreams");
        chooser.record_start(now, &choice.vm, step);
        let latency = Duration::from_millis(latency(&choice.vm));
        let completion = Completion::Answered { latency };
        chooser.record_completion(now + latency, &choice.vm, step, completion);
        *counts.entry(choice.vm).or_default() += 1;
    }
    counts
}

#[test]
fn own_zone_is_preferred_unless_it_is_slow() {
    let mut chooser = BalancedChooser::new("a".to_owned(), 1);
    chooser.set_candidates(Duration::ZERO, &candidates(&["a", "b", "c"]));
    let even = send_sequentially(&mut chooser, Duration::ZERO, 300, |_| 5);
    let slow = send_sequentially(&mut chooser, Duration::from_secs(5), 300, |vm| {
        if vm == "vm-0" { 14 } else { 5 }
    });
    insta::assert_json_snapshot!([even, slow]);
}

#[test]
fn straggler_is_ejected_probed_and_returns_slowly() {
    let mut chooser = BalancedChooser::new("a".to_owned(), 1);
    chooser.set_candidates(Duration::ZERO, &candidates(&["a"; 4]));
    let mut phases = vec![send_sequentially(&mut chooser, Duration::ZERO, 400, |_| 5)];
    let slow = |vm: &str| if vm == "vm-0" { 60 } else { 5 };
    phases.push(send_sequentially(
        &mut chooser,
        Duration::from_secs(10),
        400,
        slow,
    ));
    assert_eq!(chooser.ejected(), &BTreeSet::from(["vm-0".to_owned()]));
    for second in [20, 24, 28, 32, 36, 40] {
        let start = Duration::from_secs(second);
        phases.push(send_sequentially(&mut chooser, start, 400, |_| 5));
    }
    assert_eq!(chooser.ejected(), &BTreeSet::new());
    let of_straggler: Vec<_> = phases.iter().map(|phase| phase.get("vm-0")).collect();
    insta::assert_json_snapshot!(of_straggler);
}

#[test]
fn ejected_upstream_gets_one_probe_at_a_time() {
    let mut chooser = BalancedChooser::new("a".to_owned(), 1);
    chooser.set_candidates(Duration::ZERO, &candidates(&["a"; 3]));
    send_sequentially(&mut chooser, Duration::ZERO, 100, |_| 5);
    send_sequentially(&mut chooser, Duration::from_secs(2), 100, |vm| {
        if vm == "vm-0" { 90 } else { 5 }
    });
    let now = Duration::from_secs(60);
    let mut probes = 0;
    for ticket in 1_000..1_100 {
        let choice = chooser
            .choose(now, &BTreeSet::new())
            .expect("there are upstreams");
        chooser.record_start(now, &choice.vm, ticket);
        probes += u64::from(choice.vm == "vm-0");
    }
    assert_eq!(probes, 1);
}

#[test]
fn at_most_half_of_the_upstreams_are_ejected() {
    for slow in 0..5_usize {
        let mut chooser = BalancedChooser::new("a".to_owned(), 3);
        chooser.set_candidates(Duration::ZERO, &candidates(&["a"; 5]));
        send_sequentially(&mut chooser, Duration::ZERO, 200, |_| 5);
        send_sequentially(&mut chooser, Duration::from_secs(5), 500, |vm| {
            let index: usize = vm[3..].parse().expect("the name ends in an index");
            if index < slow { 100 } else { 5 }
        });
        assert!(
            chooser.ejected().len() <= 2,
            "{slow}: {:?}",
            chooser.ejected()
        );
    }
}

#[test]
fn added_upstream_gets_load_slowly() {
    let mut chooser = BalancedChooser::new("a".to_owned(), 1);
    chooser.set_candidates(Duration::ZERO, &candidates(&["a", "a"]));
    send_sequentially(&mut chooser, Duration::ZERO, 100, |_| 5);
    chooser.set_candidates(Duration::from_secs(10), &candidates(&["a", "a", "a"]));
    let counts: Vec<_> = (10..16)
        .map(|second| {
            let start = Duration::from_secs(second);
            let counts = send_sequentially(&mut chooser, start, 100, |_| 5);
            counts.get("vm-2").copied().unwrap_or(0)
        })
        .collect();
    insta::assert_json_snapshot!(counts);
}

fn head(idempotent: bool) -> RequestHead {
    RequestHead {
        deadline: Duration::from_secs(1),
        id: "r".to_owned(),
        idempotency_key: None,
        idempotent,
        key: None,
        max_attempts: None,
        method: "GET".to_owned(),
        path: "/".to_owned(),
        service: "workshop".to_owned(),
    }
}

#[test]
fn overload_does_not_turn_into_a_retry_storm() {
    let extras = |percent: f64| {
        let mut budget = RetryBudget::new(percent);
        let mut extras = 0;
        for _ in 0..10_000 {
            budget.deposit();
            let mut attempts = 1;
            // Every attempt is shed, and every request also tries to send a hedge.
            extras += u64::from(budget.try_spend());
            while let RetryDecision::After(_) = decide_retry(
                Duration::ZERO,
                &head(true),
                attempts,
                Outcome::NotRun,
                Reason::Shed,
                &mut budget,
            ) {
                attempts += 1;
                extras += 1;
            }
        }
        extras
    };
    assert_eq!((extras(0.0), extras(5.0)), (0, 501));
    assert!(
        extras(300.0) > 20_000,
        "a large budget allows a retry storm"
    );
}

#[test]
fn a_refusal_by_a_full_home_uses_no_budget_as_no_upstream_has_seen_the_request() {
    let mut budget = RetryBudget::new(0.0);
    let mut decide = |attempts, outcome, reason| {
        decide_retry(
            Duration::ZERO,
            &head(true),
            attempts,
            outcome,
            reason,
            &mut budget,
        )
    };
    let is_repeated = |retry| matches!(retry, RetryDecision::After(_));
    assert!(is_repeated(decide(1, Outcome::NotRun, Reason::Overloaded)));
    assert!(!is_repeated(decide(3, Outcome::NotRun, Reason::Overloaded)));
    assert!(!is_repeated(decide(
        1,
        Outcome::Unknown,
        Reason::Overloaded
    )));
    assert!(!is_repeated(decide(1, Outcome::NotRun, Reason::Shed)));
}

#[test]
fn retries_by_reason_and_outcome() {
    let mut log = Vec::new();
    for reason in Reason::ALL {
        for (outcome, idempotent) in [
            (Outcome::NotRun, false),
            (Outcome::Unknown, false),
            (Outcome::Unknown, true),
        ] {
            let mut budget = RetryBudget::new(100.0);
            let head = head(idempotent);
            let retry = decide_retry(Duration::ZERO, &head, 1, outcome, *reason, &mut budget);
            if retry != RetryDecision::GiveUp {
                log.push(format!(
                    "{reason} {} idempotent: {idempotent}",
                    outcome.as_str()
                ));
            }
        }
    }
    insta::assert_snapshot!(log.join("\n"));
}

#[test]
fn hedge_delay_is_not_raised_by_a_minority_of_stragglers() {
    let vms: Vec<_> = (0..5).map(|index| format!("vm-{index}")).collect();
    let mut hedges = HedgePolicy::default();
    hedges.set_upstreams(vms.iter());
    let mut delays = vec![hedges.delay()];
    for slow in [0, 2] {
        for sample in 0..200_u64 {
            for (index, vm) in vms.iter().enumerate() {
                let factor = if index < slow { 10 } else { 1 };
                hedges.observe(vm, Duration::from_millis((10 + sample % 20) * factor));
            }
        }
        delays.push(hedges.delay());
    }
    insta::assert_debug_snapshot!(delays);
}

#[test]
fn upstreams_that_cannot_start_a_request_are_chosen_only_if_there_is_no_other() {
    let mut chooser = BalancedChooser::new("a".to_owned(), 1);
    chooser.set_candidates(Duration::ZERO, &candidates(&["a", "b", "c"]));
    let choose = |chooser: &mut BalancedChooser, ms, excluded: &[&str]| {
        let excluded = excluded.iter().map(|vm| (*vm).to_owned()).collect();
        let choice = chooser.choose(Duration::from_millis(ms), &excluded);
        choice.unwrap().vm
    };
    for vm in ["vm-0", "vm-1"] {
        chooser.record_busy(&vm.to_owned(), Duration::from_millis(100));
    }
    for ms in 0..100 {
        assert_eq!(choose(&mut chooser, ms, &[]), "vm-2");
        assert_eq!(choose(&mut chooser, ms, &["vm-0", "vm-2"]), "vm-1");
    }
    assert_eq!(choose(&mut chooser, 100, &["vm-1", "vm-2"]), "vm-0");
    assert_eq!(choose(&mut chooser, 100, &[]), "vm-0", "the own zone again");
}
