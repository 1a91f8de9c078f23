//! Selection of the requests that get log lines.

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

/// Serialises the tests, as all of them share one global logger.
static LOGGER_LOCK: Mutex<()> = Mutex::new(());

struct CapturingLogger;

impl Log for CapturingLogger {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn flush(&self) {}

    fn log(&self, record: &Record<'_>) {
        LINES.lock().unwrap().push(record.args().to_string());
    }
}

fn lock_logger() -> MutexGuard<'static, ()> {
    let guard = LOGGER_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    // Fails in the second test, as the first one has set the logger.
    let _ = log::set_logger(&CapturingLogger);
    log::set_max_level(LevelFilter::Info);
    LINES.lock().unwrap().clear();
    guard
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

/// Returns the request ids and steps of the lines that were written.
fn written_steps() -> Vec<(String, Step)> {
    let lines = LINES.lock().unwrap();
    let decisions = lines
        .iter()
        .map(|line| serde_json::from_str::<RequestDecision>(line).unwrap());
    decisions
        .map(|decision| (decision.request_id, decision.step))
        .collect()
}

fn details_with_elapsed(elapsed_ms: u64) -> DecisionDetails {
    DecisionDetails {
        elapsed_ms: Some(elapsed_ms),
        target_latency_ms: Some(200),
        ..DecisionDetails::default()
    }
}

#[test]
fn failed_and_late_requests_are_logged_from_their_first_decision_on() {
    let _guard = lock_logger();
    let log = DecisionLog::new(RequestLogFilter::Failed, 0, 100);
    for id in ["good", "late", "refused"] {
        log.record(decision(id, Step::Routed, DecisionDetails::default()));
    }
    log.record(decision("good", Step::Answered, details_with_elapsed(200)));
    log.record(decision("late", Step::Answered, details_with_elapsed(201)));
    log.record(decision("refused", Step::Refused, details_with_elapsed(5)));
    let expected = [
        ("late", Step::Routed),
        ("late", Step::Answered),
        ("refused", Step::Routed),
        ("refused", Step::Refused),
    ];
    assert_eq!(
        written_steps(),
        expected.map(|(id, step)| (id.to_owned(), step))
    );
    assert_eq!(
        log.decisions_for("good").len(),
        2,
        "decisions about unlogged requests are retained"
    );
}

#[test]
fn all_processes_sample_the_same_requests() {
    let _guard = lock_logger();
    let sample = || {
        let log = DecisionLog::new(RequestLogFilter::None, 10, 10_000);
        for number in 0..1_000 {
            let id = format!("request-{number}");
            log.record(decision(&id, Step::Routed, DecisionDetails::default()));
        }
        let sampled = written_steps();
        LINES.lock().unwrap().clear();
        sampled
    };
    let (first, second) = (sample(), sample());
    assert_eq!(first, second);
    assert!((50..200).contains(&first.len()), "{}", first.len());
}
