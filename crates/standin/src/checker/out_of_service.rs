//! Checks that VMs and zones out of service get no new requests, and that withdrawn tenant keys stop working, once the
//! allowed time has passed.

use crate::Execution;
use crate::Location;
use crate::Outage;
use crate::Trace;
use crate::Violation;

pub(crate) fn check(trace: &Trace) -> Vec<Violation> {
    let started = trace
        .executions
        .iter()
        .filter(|execution| execution.was_started());
    started
        .flat_map(|execution| {
            let outages = trace.facts.outages.iter();
            let out_of_service =
                outages.filter_map(|outage| find_out_of_service(trace, outage, execution));
            out_of_service.chain(find_withdrawn_key(trace, execution))
        })
        .collect()
}

fn find_out_of_service(trace: &Trace, outage: &Outage, execution: &Execution) -> Option<Violation> {
    let is_affected = match &outage.location {
        Location::Vm(vm) => execution.vm == *vm,
        Location::Zone(zone) => execution.zone == *zone,
    };
    let has_returned = outage
        .until_us
        .is_some_and(|until_us| execution.start_us >= until_us);
    let after_us = execution.start_us.checked_sub(outage.from_us)?;
    if !is_affected || has_returned || after_us <= trace.facts.grace_us {
        return None;
    }
    Some(Violation::OutOfService {
        location: outage.location.clone(),
        request_id: execution.request_id.clone(),
        after_us,
    })
}

fn find_withdrawn_key(trace: &Trace, execution: &Execution) -> Option<Violation> {
    let workspace = execution.workspace.as_ref()?;
    let withdrawn_us = trace.facts.withdrawn.get(workspace)?;
    let after_us = execution.start_us.checked_sub(*withdrawn_us)?;
    (after_us > trace.facts.grace_us).then(|| Violation::WithdrawnKey {
        workspace: workspace.clone(),
        request_id: execution.request_id.clone(),
        after_us,
    })
}
