//! Checks that no upstream gets more requests than the rate that it states.

use crate::Execution;
use crate::ExecutionOutcome;
use crate::StatedLimit;
use crate::Trace;
use crate::Violation;

pub(crate) fn check(trace: &Trace) -> Vec<Violation> {
    let limits = trace.facts.stated_limits.iter();
    limits
        .filter_map(|limit| first_excess(trace, limit))
        .collect()
}

/// Returns the first request that exceeds a limit, found with a bucket that the rate empties.
fn first_excess(trace: &Trace, limit: &StatedLimit) -> Option<Violation> {
    let until_us = limit.until_us.unwrap_or(u64::MAX);
    let is_counted = |execution: &&Execution| {
        execution.vm == limit.vm
            && execution.outcome != ExecutionOutcome::NotGranted
            && (limit.from_us..until_us).contains(&execution.start_us)
    };
    let mut executions: Vec<_> = trace.executions.iter().filter(is_counted).collect();
    executions.sort_by_key(|execution| execution.start_us);
    let (mut level, mut last_us) = (0.0_f64, limit.from_us);
    for execution in executions {
        let elapsed_us = execution.start_us - last_us;
        level = (level - limit.limit.rate * elapsed_us as f64 / 1e6).max(0.0) + 1.0;
        last_us = execution.start_us;
        if level > limit.limit.burst {
            return Some(Violation::StatedRateExceeded {
                request_id: execution.request_id.clone(),
                vm: limit.vm.clone(),
            });
        }
    }
    None
}
