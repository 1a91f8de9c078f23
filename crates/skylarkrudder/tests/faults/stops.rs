//! Graceful stops do not interrupt requests.

use std::collections::BTreeSet;
use std::time::Duration;

use standin::Execution;
use standin::ExecutionOutcome;
use standin::RequestStream;
use standin::UpstreamOptions;

use crate::scenario::Outcome;
use crate::scenario::Scenario;
use crate::scenario::TIMEOUT;
use crate::scenario::base_stream;

const LOAD: Duration = Duration::from_secs(8);

/// Duration of a request, long enough for many to be in flight when the stop begins.
const WORK_MS: u64 = 300;

fn streams() -> Vec<RequestStream> {
    let slow = RequestStream {
        method: "POST".to_owned(),
        rate: 15.0,
        work_ms: Some(WORK_MS),
        ..base_stream()
    };
    let orders = RequestStream {
        keys: 40,
        service: "ordering".to_owned(),
        ..slow.clone()
    };
    let lists = RequestStream {
        service: "workshop".to_owned(),
        ..slow
    };
    vec![orders, lists]
}

fn start_with_slow_upstreams() -> Scenario {
    let options = UpstreamOptions {
        work_ms: WORK_MS,
        ..UpstreamOptions::default()
    };
    Scenario::start_with(Scenario::builder().upstreams(options))
}

fn stop_gracefully(scenario: &Scenario, vm: &str) {
    scenario.fleet.terminate(vm).unwrap();
    let status = scenario.fleet.wait_for_exit(vm, TIMEOUT).unwrap();
    assert!(status.success(), "{vm}: {status}");
}

/// Returns the executions that ran to the end or were cancelled, and whose answer no caller received.
fn unanswered_executions(outcome: &Outcome) -> Vec<Execution> {
    let answered: BTreeSet<_> = outcome
        .load
        .observations
        .iter()
        .filter(|observation| observation.is_acknowledged())
        .filter_map(|observation| observation.request_id.clone())
        .collect();
    let mut executions = outcome.fleet.executions().unwrap();
    let is_relevant = |execution: &Execution| {
        matches!(
            execution.outcome,
            ExecutionOutcome::Ran | ExecutionOutcome::Cancelled
        ) && execution.workspace.is_some()
            && execution.start_us >= outcome.load.observations[0].sent_us
    };
    executions
        .retain(|execution| is_relevant(execution) && !answered.contains(&execution.request_id));
    executions
}

#[test]
fn stop_interrupts_no_request_from_other_entries() {
    for vm in ["ordering-a-1", "workshop-a-1"] {
        let scenario = start_with_slow_upstreams();
        let entries = scenario.entries_except(vm);
        scenario
            .through_entries(entries)
            .with_streams(LOAD, streams())
            .during_load(|scenario| stop_gracefully(scenario, vm))
            .check_trace()
            .check_all_requests_are_answered();
    }
}

#[test]
fn stop_interrupts_no_request_of_its_own_callers() {
    let vm = "workshop-b-1";
    let scenario = start_with_slow_upstreams();
    let entry = scenario.fleet.addresses(vm).unwrap().caller;
    let outcome = scenario
        .through_entries(vec![entry])
        .with_streams(LOAD, streams())
        .during_load(|scenario| stop_gracefully(scenario, vm))
        .check_trace();
    let interrupted = unanswered_executions(&outcome);
    assert!(interrupted.is_empty(), "{interrupted:?}");
}
