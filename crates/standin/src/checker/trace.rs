//! Trace of a test run.

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
use crate::checker::upstream_rates;

/// Record of what upstreams ran and callers observed, with the limits and outages in force meanwhile.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// Every request that reached an upstream.
    pub executions: Vec<Execution>,
    /// Limits, outages and key withdrawals in force.
    pub facts: TraceFacts,
    /// Every request that a caller sent, one observation per attempt.
    pub observations: Vec<Observation>,
}

impl Trace {
    /// Returns all violations without duplicates, in a fixed order.
    pub fn check(&self) -> Vec<Violation> {
        let index = ExecutionIndex::new(self);
        let mut violations = Vec::new();
        violations.extend(responses::check(self));
        violations.extend(capacity::check(self));
        violations.extend(delivery::check(self, &index));
        violations.extend(ownership::check(self));
        violations.extend(out_of_service::check(self));
        violations.extend(rates::check(self, &index));
        violations.extend(upstream_rates::check(self));
        violations.sort();
        violations.dedup();
        violations
    }
}
