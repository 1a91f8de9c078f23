//! Checks that an upstream never gets more concurrent requests than it can handle, also during a cold start.

use crate::ExecutionOutcome;
use crate::Trace;
use crate::Violation;

pub(crate) fn check(trace: &Trace) -> Vec<Violation> {
    let above_capacity = trace.executions.iter().filter(|execution| {
        execution.outcome != ExecutionOutcome::NotGranted && execution.running > execution.capacity
    });
    above_capacity
        .map(|execution| Violation::CapacityExceeded {
            request_id: execution.request_id.clone(),
            running: execution.running,
            capacity: execution.capacity,
        })
        .collect()
}
