//! Checks that acknowledged requests ran, that requests which may run only once did not run again, and that requests
//! refused as `not-run` did not run.

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
        violations.extend(find_lost_request(observation, index));
        violations.extend(find_false_not_run(observation, index));
    }
    violations.extend(find_false_not_run_bodies(trace, index));
    violations.extend(find_duplicate_executions(trace, index));
    violations
}

fn find_lost_request(observation: &Observation, index: &ExecutionIndex) -> Option<Violation> {
    let ran = |execution: &&Execution| execution.outcome == ExecutionOutcome::Ran;
    if !observation.is_acknowledged() || index.executions_of(observation).iter().any(ran) {
        return None;
    }
    Some(Violation::LostRequest {
        request_id: observation.request_id.clone().unwrap_or_default(),
    })
}

fn find_false_not_run(observation: &Observation, index: &ExecutionIndex) -> Option<Violation> {
    let id = observation.request_id.as_ref()?;
    if !observation.is_not_run() || index.executions_with_id(id).is_empty() {
        return None;
    }
    Some(Violation::FalseNotRun {
        request_id: id.clone(),
    })
}

/// Finds request bodies that ran although every attempt to send them was refused as not run.
fn find_false_not_run_bodies(trace: &Trace, index: &ExecutionIndex) -> Vec<Violation> {
    let mut attempts_by_body: BTreeMap<&str, Vec<&Observation>> = BTreeMap::new();
    for observation in &trace.observations {
        if let Some(body_hash) = &observation.body_hash {
            attempts_by_body
                .entry(body_hash)
                .or_default()
                .push(observation);
        }
    }
    let refused = attempts_by_body
        .into_values()
        .filter(|attempts| attempts.iter().all(|observation| observation.is_not_run()));
    refused
        .filter_map(|attempts| index.executions_of(attempts[0]).first())
        .map(|execution| Violation::FalseNotRun {
            request_id: execution.request_id.clone(),
        })
        .collect()
}

/// Finds requests that may run only once and were started more often.
fn find_duplicate_executions(trace: &Trace, index: &ExecutionIndex) -> Vec<Violation> {
    let non_idempotent = trace.observations.iter();
    let non_idempotent = non_idempotent.filter(|observation| !observation.idempotent);
    let mut runs: BTreeMap<String, BTreeSet<(&str, u64, &str)>> = BTreeMap::new();
    for observation in non_idempotent {
        let started = index.executions_of(observation).iter().map(|execution| {
            (
                execution.instance.as_str(),
                execution.serial,
                execution.request_id.as_str(),
            )
        });
        runs.entry(request_identity(observation))
            .or_default()
            .extend(started);
    }
    runs.into_values()
        .filter(|runs| runs.len() > 1)
        .map(|runs| Violation::DuplicateExecution {
            request_ids: runs.into_iter().map(|(_, _, id)| id.to_owned()).collect(),
        })
        .collect()
}

/// Returns an identifier that is the same for all attempts of a request.
fn request_identity(observation: &Observation) -> String {
    let workspace = observation.workspace.as_deref().unwrap_or_default();
    match (&observation.idempotency_key, &observation.body_hash) {
        (Some(key), _) => format!("key {workspace} {key}"),
        (None, Some(body_hash)) => format!("body {body_hash}"),
        (None, None) => format!("id {:?}", observation.request_id),
    }
}
