//! Checks that every caller gets the complete response to its own request, run for its own workspace.

use std::collections::BTreeMap;

use crate::EchoResponse;
use crate::Observation;
use crate::Trace;
use crate::Violation;
use crate::checker::repetitions::Repetitions;

pub(crate) fn check(trace: &Trace) -> Vec<Violation> {
    let acknowledged = trace.observations.iter();
    let acknowledged = acknowledged.filter(|observation| observation.is_acknowledged());
    let repetitions = Repetitions::new(&trace.observations);
    let wrong =
        acknowledged.filter_map(|observation| find_wrong_response(observation, &repetitions));
    let mut violations: Vec<_> = wrong.collect();
    violations.extend(find_wrong_workspaces(trace));
    violations
}

fn find_wrong_response(
    observation: &Observation,
    repetitions: &Repetitions<'_>,
) -> Option<Violation> {
    let difference = match &observation.answer {
        Some(response) => describe_difference(observation, response, repetitions)?,
        None => "the response is truncated",
    };
    Some(Violation::WrongResponse {
        request_id: observation.request_id.clone().unwrap_or_default(),
        difference: difference.to_owned(),
    })
}

fn describe_difference(
    observation: &Observation,
    response: &EchoResponse,
    repetitions: &Repetitions<'_>,
) -> Option<&'static str> {
    let body_hash = observation.body_hash.as_ref();
    let is_own = observation.request_id.as_ref() == Some(&response.request_id);
    if !is_own && !repetitions.is_first_answer(observation, &response.request_id) {
        Some("the request id differs")
    } else if body_hash.is_some_and(|hash| *hash != response.body_hash) {
        Some("the body hash differs")
    } else if observation.key != response.key {
        Some("the key differs")
    } else if observation.workspace != response.workspace {
        Some("the workspace differs")
    } else {
        None
    }
}

fn find_wrong_workspaces(trace: &Trace) -> Vec<Violation> {
    let mut expected = BTreeMap::new();
    for observation in &trace.observations {
        let identifiers = [&observation.request_id, &observation.body_hash];
        for identifier in identifiers.into_iter().flatten() {
            expected.insert(identifier, &observation.workspace);
        }
    }
    let started = trace
        .executions
        .iter()
        .filter(|execution| execution.was_started());
    let wrong = started.filter_map(|execution| {
        let by_id = expected.get(&execution.request_id);
        let workspace = by_id.or_else(|| expected.get(&execution.body_hash))?;
        (**workspace != execution.workspace).then(|| Violation::WrongWorkspace {
            request_id: execution.request_id.clone(),
            expected: (*workspace).clone(),
            actual: execution.workspace.clone(),
        })
    });
    wrong.collect()
}
