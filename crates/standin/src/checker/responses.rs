//! Every caller gets the whole answer to its own request, run for its own workspace.

use std::collections::BTreeMap;

use crate::EchoResponse;
use crate::Observation;
use crate::Trace;
use crate::Violation;

pub(crate) fn check(trace: &Trace) -> Vec<Violation> {
    let acknowledged = trace.observations.iter();
    let acknowledged = acknowledged.filter(|observation| observation.is_acknowledged());
    let mut violations: Vec<_> = acknowledged.filter_map(foreign_answer).collect();
    violations.extend(wrong_workspaces(trace));
    violations
}

fn foreign_answer(observation: &Observation) -> Option<Violation> {
    let difference = match &observation.answer {
        Some(answer) => difference(observation, answer)?,
        None => "the answer is cut short",
    };
    Some(Violation::WrongResponse {
        request_id: observation.request_id.clone().unwrap_or_default(),
        difference: difference.to_owned(),
    })
}

fn difference(observation: &Observation, answer: &EchoResponse) -> Option<&'static str> {
    let body_hash = observation.body_hash.as_ref();
    if observation.request_id.as_ref() != Some(&answer.request_id) {
        Some("the id in the answer is another")
    } else if body_hash.is_some_and(|hash| *hash != answer.body_hash) {
        Some("the body was another")
    } else if observation.key != answer.key {
        Some("the key was another")
    } else if observation.workspace != answer.workspace {
        Some("the workspace was another")
    } else {
        None
    }
}

fn wrong_workspaces(trace: &Trace) -> Vec<Violation> {
    let mut expected = BTreeMap::new();
    for observation in &trace.observations {
        let names = [&observation.request_id, &observation.body_hash];
        for name in names.into_iter().flatten() {
            expected.insert(name, &observation.workspace);
        }
    }
    let started = trace.executions.iter().filter(|found| found.was_started());
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
