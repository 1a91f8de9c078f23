//! Which requests get log lines.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;
use telemetry::DecisionDetails;
use telemetry::DecisionLog;
use telemetry::RequestDecision;
use telemetry::RequestLogFilter;
use telemetry::Step;

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Held by the test that logs, since there is one logger for all.
static TURN: Mutex<()> = Mutex::new(());

struct Capture;

impl Log for Capture {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn flush(&self) {}

    fn log(&self, record: &Record<'_>) {
        LINES.lock().unwrap().push(record.args().to_string());
    }
}

fn take_turn() -> MutexGuard<'static, ()> {
    let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    // The second test finds the logger set by the first.
    let _ = log::set_logger(&Capture);
    log::set_max_level(LevelFilter::Info);
    LINES.lock().unwrap().clear();
    turn
}

fn decision(id: &str, step: Step, details: DecisionDetails) -> RequestDecision {
    RequestDecision {
        details,
        fence: None,
        reason: "reason".to_owned(),
        request_id: id.to_owned(),
        service: Some("orders".to_owned()),
        step,
        time_unix_ms: 1,
        to: None,
        unit: None,
        view: None,
        vm: "vm-1".to_owned(),
        workspace: None,
    }
}

/// Returns the ids and steps of the lines that were written.
fn written() -> Vec<(String, Step)> {
    let lines = LINES.lock().unwrap();
    let decisions = lines
        .iter()
        .map(|line| serde_json::from_str::<RequestDecision>(line).unwrap());
    decisions
        .map(|decision| (decision.request_id, decision.step))
        .collect()
}

fn timed(elapsed_ms: u64) -> DecisionDetails {
    DecisionDetails {
        elapsed_ms: Some(elapsed_ms),
        target_latency_ms: Some(200),
        ..DecisionDetails::default()
    }
}

#[test]
fn a_request_that_fails_or_is_late_is_written_from_its_first_decision_on() {
    let _turn = take_turn();
    let log = DecisionLog::new(RequestLogFilter::Failed, 0, 100);
    for id in ["good", "late", "refused"] {
        log.record(decision(id, Step::Routed, DecisionDetails::default()));
    }
    log.record(decision("good", Step::Answered, timed(200)));
    log.record(decision("late", Step::Answered, timed(201)));
    log.record(decision("refused", Step::Refused, timed(5)));
    let expected = [
        ("late", Step::Routed),
        ("late", Step::Answered),
        ("refused", Step::Routed),
        ("refused", Step::Refused),
    ];
    assert_eq!(written(), expected.map(|(id, step)| (id.to_owned(), step)));
    assert_eq!(
        log.decisions_for("good").len(),
        2,
        "operators can still ask for it"
    );
}

#[test]
fn all_processes_sample_the_same_requests() {
    let _turn = take_turn();
    let sample = || {
        let log = DecisionLog::new(RequestLogFilter::None, 10, 10_000);
        for number in 0..1_000 {
            let id = format!("request-{number}");
            log.record(decision(&id, Step::Routed, DecisionDetails::default()));
        }
        let sampled = written();
        LINES.lock().unwrap().clear();
        sampled
    };
    let (here, there) = (sample(), sample());
    assert_eq!(here, there);
    assert!((50..200).contains(&here.len()), "{}", here.len());
}
