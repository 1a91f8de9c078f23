//! An upstream in a cold start never gets more than it bears.

use crate::ExecutionOutcome;
use crate::Trace;
use crate::Violation;

pub(crate) fn check(trace: &Trace) -> Vec<Violation> {
    let too_many = trace.executions.iter().filter(|execution| {
        execution.outcome != ExecutionOutcome::NotGranted && execution.running > execution.capacity
    });
    too_many
        .map(|execution| Violation::CapacityExceeded {
            request_id: execution.request_id.clone(),
            running: execution.running,
            capacity: execution.capacity,
        })
        .collect()
}
