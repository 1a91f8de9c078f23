//! No acknowledged request is lost, none that may run once is doubled, and `not-run` is true.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::Execution;
use crate::ExecutionOutcome;
use crate::Observation;
use crate::Trace;
use crate::Violation;
use crate::checker::ExecutionIndex;

pub(crate) fn check(trace: &Trace, index: &ExecutionIndex) -> Vec<Violation> {
    let mut violations = Vec::new();
    for observation in &trace.observations {
        violations.extend(lost(observation, index));
        violations.extend(false_not_run(observation, index));
    }
    violations.extend(false_not_run_bodies(trace, index));
    violations.extend(run_again(trace, index));
    violations
}

fn lost(observation: &Observation, index: &ExecutionIndex) -> Option<Violation> {
    let ran = |execution: &&Execution| execution.outcome == ExecutionOutcome::Ran;
    if !observation.is_acknowledged() || index.executions_of(observation).iter().any(ran) {
        return None;
    }
    Some(Violation::LostRequest {
        request_id: observation.request_id.clone().unwrap_or_default(),
    })
}

fn false_not_run(observation: &Observation, index: &ExecutionIndex) -> Option<Violation> {
    let id = observation.request_id.as_ref()?;
    if !observation.is_not_run() || index.executions_with_id(id).is_empty() {
        return None;
    }
    Some(Violation::FalseNotRun {
        request_id: id.clone(),
    })
}

/// Finds bodies that ran although each time that they were sent was refused as not run.
fn false_not_run_bodies(trace: &Trace, index: &ExecutionIndex) -> Vec<Violation> {
    let mut sent: BTreeMap<&str, Vec<&Observation>> = BTreeMap::new();
    for observation in &trace.observations {
        if let Some(body_hash) = &observation.body_hash {
            sent.entry(body_hash).or_default().push(observation);
        }
    }
    let refused = sent
        .into_values()
        .filter(|sent| sent.iter().all(|observation| observation.is_not_run()));
    refused
        .filter_map(|sent| index.executions_of(sent[0]).first())
        .map(|execution| Violation::FalseNotRun {
            request_id: execution.request_id.clone(),
        })
        .collect()
}

/// Finds requests that may run once and were started more often.
fn run_again(trace: &Trace, index: &ExecutionIndex) -> Vec<Violation> {
    let once = trace.observations.iter();
    let once = once.filter(|observation| !observation.idempotent);
    let mut runs: BTreeMap<String, BTreeSet<(&str, u64, &str)>> = BTreeMap::new();
    for observation in once {
        let run = index.executions_of(observation).iter().map(|execution| {
            (
                execution.instance.as_str(),
                execution.serial,
                execution.request_id.as_str(),
            )
        });
        runs.entry(identity(observation)).or_default().extend(run);
    }
    runs.into_values()
        .filter(|runs| runs.len() > 1)
        .map(|runs| Violation::DuplicateExecution {
            request_ids: runs.into_iter().map(|(_, _, id)| id.to_owned()).collect(),
        })
        .collect()
}

/// Returns what is the same whenever a caller repeats a request.
fn identity(observation: &Observation) -> String {
    let workspace = observation.workspace.as_deref().unwrap_or_default();
    match (&observation.idempotency_key, &observation.body_hash) {
        (Some(key), _) => format!("key {workspace} {key}"),
        (None, Some(body_hash)) => format!("body {body_hash}"),
        (None, None) => format!("id {:?}", observation.request_id),
    }
}
