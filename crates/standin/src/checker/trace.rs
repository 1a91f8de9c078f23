//! A recorded trace.

use crate::Execution;
use crate::Observation;
use crate::TraceFacts;
use crate::Violation;
use crate::checker::ExecutionIndex;
use crate::checker::capacity;
use crate::checker::delivery;
use crate::checker::out_of_service;
use crate::checker::ownership;
use crate::checker::rates;
use crate::checker::responses;

/// What upstreams ran, what callers saw, and what was in force meanwhile.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// Every request that reached an upstream.
    pub executions: Vec<Execution>,
    /// What was in force.
    pub facts: TraceFacts,
    /// Every request that a caller sent.
    pub observations: Vec<Observation>,
}

impl Trace {
    /// Returns everything that must never happen and did, in a fixed order.
    pub fn check(&self) -> Vec<Violation> {
        let index = ExecutionIndex::new(self);
        let mut violations = Vec::new();
        violations.extend(responses::check(self));
        violations.extend(capacity::check(self));
        violations.extend(delivery::check(self, &index));
        violations.extend(ownership::check(self));
        violations.extend(out_of_service::check(self));
        violations.extend(rates::check(self, &index));
        violations.sort();
        violations.dedup();
        violations
    }
}
