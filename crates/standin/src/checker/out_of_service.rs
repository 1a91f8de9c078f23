//! Places out of service get no new work, and withdrawn tenant keys stop working, after the time allowed.

use crate::Execution;
use crate::Location;
use crate::Outage;
use crate::Trace;
use crate::Violation;

pub(crate) fn check(trace: &Trace) -> Vec<Violation> {
    let started = trace.executions.iter().filter(|found| found.was_started());
    started
        .flat_map(|execution| {
            let outages = trace.facts.outages.iter();
            let absent = outages.filter_map(|outage| out_of_service(trace, outage, execution));
            absent.chain(withdrawn(trace, execution))
        })
        .collect()
}

fn out_of_service(trace: &Trace, outage: &Outage, execution: &Execution) -> Option<Violation> {
    let is_there = match &outage.location {
        Location::Vm(vm) => execution.vm == *vm,
        Location::Zone(zone) => execution.zone == *zone,
    };
    let has_returned = outage
        .until_us
        .is_some_and(|until_us| execution.start_us >= until_us);
    let after_us = execution.start_us.checked_sub(outage.from_us)?;
    if !is_there || has_returned || after_us <= trace.facts.grace_us {
        return None;
    }
    Some(Violation::OutOfService {
        location: outage.location.clone(),
        request_id: execution.request_id.clone(),
        after_us,
    })
}

fn withdrawn(trace: &Trace, execution: &Execution) -> Option<Violation> {
    let workspace = execution.workspace.as_ref()?;
    let at_us = trace.facts.withdrawn.get(workspace)?;
    let after_us = execution.start_us.checked_sub(*at_us)?;
    (after_us > trace.facts.grace_us).then(|| Violation::WithdrawnKey {
        workspace: workspace.clone(),
        request_id: execution.request_id.clone(),
        after_us,
    })
}
