//! Tests of the trace checker with traces that each break one rule.

use ids::Unit;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use standin::EchoResponse;
use standin::Execution;
use standin::ExecutionOutcome;
use standin::Location;
use standin::Observation;
use standin::Outage;
use standin::RateLimit;
use standin::StatedLimit;
use standin::Trace;
use standin::Violation;

/// Returns an execution of request `id` on shard 1 under fence 5, from `start_us` to `end_us`.
fn execution(id: &str, start_us: u64, end_us: u64) -> Execution {
    Execution {
        capacity: 10,
        body_hash: format!("body of {id}"),
        draining: false,
        end_us: Some(end_us),
        fence: Some(5),
        instance: "instance-1".to_owned(),
        key: Some("stall".to_owned()),
        outcome: ExecutionOutcome::Ran,
        request_id: id.to_owned(),
        running: 1,
        serial: start_us,
        start_us,
        unit: Some(Unit::Shard {
            service: "ordering".to_owned(),
            index: 1,
        }),
        vm: "vm-1".to_owned(),
        workspace: Some("collective".to_owned()),
        zone: "a".to_owned(),
    }
}

/// Returns what a caller observes of an acknowledged order.
fn observation(id: &str, sent_us: u64) -> Observation {
    let body_hash = format!("body of {id}");
    let workspace = Some("collective".to_owned());
    let key = Some("stall".to_owned());
    Observation {
        answer: Some(EchoResponse {
            body_hash: body_hash.clone(),
            instance: "instance-1".to_owned(),
            key: key.clone(),
            request_id: id.to_owned(),
            workspace: workspace.clone(),
        }),
        answered_us: Some(sent_us + 100),
        body_hash: Some(body_hash),
        due_us: sent_us,
        idempotency_key: None,
        idempotent: false,
        key,
        outcome: None,
        reason: None,
        request_id: Some(id.to_owned()),
        retry_after_ms: None,
        sent_us,
        service: "ordering".to_owned(),
        status: Some(200),
        workspace,
    }
}

fn refusal(id: &str, outcome: &str) -> Observation {
    Observation {
        answer: None,
        outcome: Some(outcome.to_owned()),
        reason: Some("shed".to_owned()),
        status: Some(503),
        ..observation(id, 0)
    }
}

fn unanswered(id: &str) -> Observation {
    Observation {
        answer: None,
        answered_us: None,
        request_id: None,
        status: None,
        ..observation(id, 0)
    }
}

/// Returns a trace of two requests that breaks no rule.
fn clean_trace() -> Trace {
    Trace {
        executions: vec![execution("r1", 10, 20), execution("r2", 30, 40)],
        observations: vec![observation("r1", 5), observation("r2", 25)],
        ..Trace::default()
    }
}

fn violations_after(change: impl FnOnce(&mut Trace)) -> String {
    let mut trace = clean_trace();
    change(&mut trace);
    let violations = trace.check();
    violations
        .iter()
        .map(|violation| format!("{violation}\n"))
        .collect()
}

/// Defines tests that snapshot the violations in the clean trace after a change.
macro_rules! violation_tests {
    ($($name:ident: $change:expr,)+) => {
        $(#[test]
        fn $name() {
            insta::assert_snapshot!(violations_after($change));
        })+
    };
}

violation_tests! {
    overlap_of_two_owners: |trace| {
        trace.executions[1].start_us = 15;
        trace.executions[1].fence = Some(6);
        trace.executions[1].instance = "instance-2".to_owned();
    },
    overlap_of_two_owners_of_a_key_under_shard_and_pin: |trace| {
        trace.executions[1].start_us = 15;
        trace.executions[1].instance = "instance-2".to_owned();
        trace.executions[1].unit = Some(Unit::Pinned {
            service: "ordering".to_owned(),
            key: "stall".to_owned(),
        });
    },
    later_execution_under_an_older_fence: |trace| trace.executions[1].fence = Some(4),
    acknowledged_request_that_never_ran: |trace| {
        trace.executions.remove(1);
    },
    acknowledged_request_that_was_stopped: |trace| {
        trace.executions[1].outcome = ExecutionOutcome::GrantExpired;
    },
    order_that_ran_twice_without_a_response: |trace| {
        trace.observations[1] = unanswered("r2");
        trace.executions.push(Execution {
            request_id: "r3".to_owned(),
            ..execution("r2", 50, 60)
        });
    },
    order_that_ran_again_under_its_idempotency_key: |trace| {
        for observation in &mut trace.observations {
            observation.idempotency_key = Some("order-1".to_owned());
        }
    },
    request_refused_as_not_run_that_ran: |trace| trace.observations[1] = refusal("r2", "not-run"),
    request_refused_as_not_run_that_ran_under_another_id: |trace| {
        trace.observations[1] = refusal("r2", "not-run");
        trace.observations[1].request_id = Some("r9".to_owned());
    },
    response_to_another_request: |trace| {
        trace.observations[1].answer = trace.observations[0].answer.clone();
    },
    truncated_response: |trace| trace.observations[1].answer = None,
    execution_for_another_workspace: |trace| {
        trace.executions[1].workspace = Some("partnership".to_owned());
    },
    execution_in_a_zone_out_of_service: |trace| {
        trace.facts.grace_us = 10;
        trace.facts.outages.push(Outage {
            from_us: 12,
            location: Location::Zone("a".to_owned()),
            until_us: None,
        });
    },
    execution_on_a_drained_upstream: |trace| {
        trace.facts.outages.push(Outage {
            from_us: 8,
            location: Location::Vm("vm-1".to_owned()),
            until_us: Some(30),
        });
    },
    execution_after_key_withdrawal: |trace| {
        trace.facts.withdrawn.insert("collective".to_owned(), 29);
    },
    requests_above_rate_and_burst: |trace| {
        let limit = RateLimit { burst: 1.0, rate: 10_000.0 };
        trace.facts.limits.insert("collective".to_owned(), limit);
    },
    requests_above_upstream_capacity: |trace| trace.executions[1].running = 11,
}

/// Returns a trace in which the second request repeats the first under its idempotency key and gets its answer.
fn repetition_trace() -> Trace {
    let mut trace = clean_trace();
    trace.executions.remove(1);
    for observation in &mut trace.observations {
        observation.idempotency_key = Some("key-1".to_owned());
        observation.body_hash = Some("body of r1".to_owned());
    }
    trace.observations[1].answer = trace.observations[0].answer.clone();
    trace
}

#[test]
fn repetition_under_an_idempotency_key_gets_the_first_answer() {
    let violations = repetition_trace().check();
    assert!(violations.is_empty(), "{violations:?}");
    let mut trace = repetition_trace();
    trace.observations[0] = unanswered("r1");
    trace.observations[0].idempotency_key = Some("key-1".to_owned());
    let violations = trace.check();
    assert!(violations.is_empty(), "{violations:?}");
}

#[test]
fn repetition_that_gets_another_answer_is_a_violation() {
    let check = |change: fn(&mut Trace)| {
        let mut trace = repetition_trace();
        change(&mut trace);
        trace.check()
    };
    let without_key = check(|trace| trace.observations[1].idempotency_key = None);
    let without_first = check(|trace| {
        trace.observations.remove(0);
    });
    let other_key = check(|trace| {
        trace.observations[1].idempotency_key = Some("key-2".to_owned());
    });
    let other_body = check(|trace| {
        let answer = trace.observations[1].answer.as_mut().unwrap();
        answer.body_hash = "body of r9".to_owned();
    });
    let answers_differ = check(|trace| {
        let answer = trace.observations[1].answer.as_mut().unwrap();
        answer.request_id = "r9".to_owned();
    });
    let answer_of_another = check(|trace| {
        let other = Observation {
            idempotency_key: None,
            ..trace.observations[0].clone()
        };
        trace.observations[0] = unanswered("r1");
        trace.observations[0].idempotency_key = Some("key-1".to_owned());
        trace.observations.push(other);
    });
    for violations in [
        without_key,
        without_first,
        other_key,
        other_body,
        answers_differ,
        answer_of_another,
    ] {
        let text: String = violations.iter().map(ToString::to_string).collect();
        assert!(text.contains("foreign_answer"), "{text}");
    }
}

#[test]
fn trace_that_breaks_no_rule_is_clean() {
    let violations = violations_after(|trace| {
        trace.facts.limits.insert(
            "collective".to_owned(),
            RateLimit {
                burst: 1.0,
                rate: 50_000.0,
            },
        );
        trace.facts.outages.push(Outage {
            from_us: 25,
            location: Location::Zone("b".to_owned()),
            until_us: None,
        });
        // The unit moves to a new owner, and the caller of an order that ran there is refused with `unknown`.
        trace.executions.push(Execution {
            fence: Some(6),
            instance: "instance-2".to_owned(),
            ..execution("r3", 60, 70)
        });
        trace.observations.push(refusal("r3", "unknown"));
        // An order is refused as not run, and runs when it is sent again.
        trace.executions.push(Execution {
            outcome: ExecutionOutcome::Shed,
            ..execution("r4", 80, 80)
        });
        trace.executions.push(Execution {
            fence: Some(6),
            instance: "instance-2".to_owned(),
            request_id: "r5".to_owned(),
            ..execution("r4", 90, 95)
        });
        trace.observations.push(refusal("r4", "not-run"));
        let mut retry = observation("r4", 85);
        retry.request_id = Some("r5".to_owned());
        retry.answer.as_mut().unwrap().request_id = "r5".to_owned();
        trace.observations.push(retry);
        trace.observations.push(unanswered("r6"));
    });
    assert_eq!(violations, "");
}

/// Reports whether any window contains more whole intervals than the limit allows.
fn exceeds_limit(intervals: &[(u64, u64)], limit: RateLimit) -> bool {
    let starts = intervals.iter().map(|(sent_us, _)| *sent_us);
    starts.into_iter().any(|from_us| {
        intervals.iter().any(|(_, to_us)| {
            let within =
                |(sent_us, start_us): &&(u64, u64)| from_us <= *sent_us && start_us <= to_us;
            let count = intervals.iter().filter(within).count() as f64;
            let window_us = to_us.saturating_sub(from_us) as f64;
            count > limit.burst + limit.rate * window_us / 1e6 + 1e-3
        })
    })
}

#[test]
fn rate_is_exceeded_exactly_when_some_window_contains_too_many_requests() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut exceeded_count = 0;
    for _ in 0..3_000 {
        let limit = RateLimit {
            burst: f64::from(rng.random_range(1..4)),
            rate: f64::from(rng.random_range(1..6)) * 5_000.0,
        };
        let max_wait_us = rng.random_range(0..3) * 20;
        let mut trace = Trace::default();
        trace.facts.limits.insert("collective".to_owned(), limit);
        let mut intervals = Vec::new();
        for number in 0..rng.random_range(1..12) {
            let sent_us = rng.random_range(0..120) * 5;
            let start_us = sent_us + rng.random_range(0..=max_wait_us);
            let id = format!("r{number}");
            let mut execution = execution(&id, start_us, start_us);
            execution.serial = number;
            trace.executions.push(execution);
            trace.observations.push(observation(&id, sent_us));
            intervals.push((sent_us, start_us));
        }
        let has_violation = !trace.check().is_empty();
        assert_eq!(
            has_violation,
            exceeds_limit(&intervals, limit),
            "{intervals:?} {limit:?}"
        );
        exceeded_count += u32::from(has_violation);
    }
    assert!((500..2_500).contains(&exceeded_count), "{exceeded_count}");
}

#[test]
fn an_upstream_that_gets_more_than_the_rate_that_it_states_breaks_a_rule() {
    let limited = |gap_us: u64| {
        let mut trace = Trace::default();
        let starts = (0..10).map(|number| number * gap_us);
        trace.executions = starts
            .map(|start_us| execution(&format!("id-{start_us}"), start_us, start_us + 1))
            .collect();
        trace.facts.stated_limits.push(StatedLimit {
            from_us: 0,
            limit: RateLimit {
                burst: 2.0,
                rate: 5.0,
            },
            until_us: None,
            vm: "vm-1".to_owned(),
        });
        let violations = trace.check();
        violations
            .iter()
            .any(|violation| matches!(violation, Violation::StatedRateExceeded { .. }))
    };
    assert!(!limited(200_000), "5 requests a second");
    assert!(limited(150_000), "6.7 requests a second");
}
