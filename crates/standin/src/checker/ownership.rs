//! Checks that no unit or key ever has more than one owner, and that fences never decrease.

use std::collections::BTreeMap;

use ids::Unit;

use crate::Execution;
use crate::Trace;
use crate::Violation;

pub(crate) fn check(trace: &Trace) -> Vec<Violation> {
    let mut by_key: BTreeMap<String, Vec<&Execution>> = BTreeMap::new();
    let mut by_unit: BTreeMap<String, Vec<&Execution>> = BTreeMap::new();
    let started = trace
        .executions
        .iter()
        .filter(|execution| execution.was_started());
    for execution in started {
        let Some(unit) = &execution.unit else {
            continue;
        };
        by_unit.entry(unit.to_string()).or_default().push(execution);
        if let Some(key) = key_subject(unit, execution) {
            by_key.entry(key).or_default().push(execution);
        }
    }
    let mut violations = Vec::new();
    for (unit, mut executions) in by_unit {
        executions.sort_by_key(|execution| execution.start_us);
        violations.extend(find_stale_fences(&unit, &executions));
        violations.extend(find_overlaps(&unit, &executions, is_same_owner));
    }
    for (key, mut executions) in by_key {
        executions.sort_by_key(|execution| execution.start_us);
        // One owner may hold a key under both its pin and its shard.
        violations.extend(find_overlaps(&key, &executions, |a, b| {
            a.instance == b.instance
        }));
    }
    violations
}

fn key_subject(unit: &Unit, execution: &Execution) -> Option<String> {
    let (Unit::Pinned { service, .. } | Unit::Shard { service, .. }) = unit else {
        return None;
    };
    let key = execution.key.as_ref()?;
    Some(format!("key {key} of {service}"))
}

fn is_same_owner(a: &Execution, b: &Execution) -> bool {
    a.fence == b.fence && a.instance == b.instance
}

fn find_stale_fences(unit: &str, executions: &[&Execution]) -> Vec<Violation> {
    let mut newest = 0;
    let mut violations = Vec::new();
    for execution in executions {
        let fence = execution.fence.unwrap_or_default();
        if fence < newest {
            violations.push(Violation::StaleFence {
                unit: unit.to_owned(),
                request_id: execution.request_id.clone(),
                fence,
                newest,
            });
        }
        newest = newest.max(fence);
    }
    violations
}

/// Finds executions that overlap in time with an earlier execution at another owner.
fn find_overlaps(
    subject: &str,
    executions: &[&Execution],
    is_same_owner: impl Fn(&Execution, &Execution) -> bool,
) -> Vec<Violation> {
    let mut running: Vec<&Execution> = Vec::new();
    let mut violations = Vec::new();
    for second in executions {
        running.retain(|first| end_us(first) > second.start_us);
        let others = running.iter().filter(|first| !is_same_owner(first, second));
        violations.extend(others.map(|first| Violation::TwoOwners {
            subject: subject.to_owned(),
            first: first.request_id.clone(),
            second: second.request_id.clone(),
        }));
        running.push(second);
    }
    violations
}

/// Returns the end of an execution, or its start if it has no end: its upstream was killed, and only the start is
/// certain.
fn end_us(execution: &Execution) -> u64 {
    execution.end_us.unwrap_or(execution.start_us)
}
