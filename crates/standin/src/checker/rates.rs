//! Checks that no workspace exceeds its rate and burst across all VMs.
//!
//! The exact time at which a request was admitted is unknown, but lies between the times at which it was sent and
//! started. A window therefore certainly contains the admission if it begins before the request was sent and ends after
//! it was started.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::MonotonicUs;
use crate::RateLimit;
use crate::Trace;
use crate::Violation;
use crate::checker::ExcessTree;
use crate::checker::ExecutionIndex;

const US_PER_SECOND: f64 = 1_000_000.0;

/// Excess over a limit, in requests, that rounding errors may cause.
const ROUNDING_TOLERANCE_REQUESTS: f64 = 1e-3;

/// Times between which a request was admitted: when it was sent and when it was started.
type Interval = (MonotonicUs, MonotonicUs);

pub(crate) fn check(trace: &Trace, index: &ExecutionIndex) -> Vec<Violation> {
    let intervals = admission_intervals(trace, index);
    let limits = trace.facts.limits.iter();
    let exceeded = limits.filter_map(|(workspace, limit)| {
        let window = find_worst_window(*limit, intervals.get(workspace.as_str())?)?;
        Some(Violation::RateExceeded {
            workspace: workspace.clone(),
            from_us: window.from_us,
            until_us: window.until_us,
        })
    });
    exceeded.collect()
}

/// Returns the admission intervals of all requests that were started, by workspace.
fn admission_intervals<'a>(
    trace: &'a Trace,
    index: &ExecutionIndex,
) -> BTreeMap<&'a str, Vec<Interval>> {
    let mut first_sent = BTreeMap::new();
    for observation in &trace.observations {
        for execution in index.executions_of(observation) {
            let id = execution.request_id.as_str();
            let sent_us = first_sent.entry(id).or_insert(observation.sent_us);
            *sent_us = observation.sent_us.min(*sent_us);
        }
    }
    let mut by_request = BTreeMap::new();
    let started = trace
        .executions
        .iter()
        .filter(|execution| execution.was_started());
    for execution in started {
        let Some(workspace) = &execution.workspace else {
            continue;
        };
        let id = execution.request_id.as_str();
        let start_us = execution.start_us;
        let sent_us = first_sent
            .get(id)
            .map_or(start_us, |sent_us| *sent_us.min(&start_us));
        let interval = by_request
            .entry((workspace.as_str(), id))
            .or_insert((sent_us, start_us));
        interval.1 = interval.1.min(start_us);
    }
    let mut by_workspace: BTreeMap<&str, Vec<Interval>> = BTreeMap::new();
    for ((workspace, _), interval) in by_request {
        by_workspace.entry(workspace).or_default().push(interval);
    }
    by_workspace
}

/// Returns the window whose number of whole intervals exceeds the limit the most, or `None` if no window exceeds it.
fn find_worst_window(limit: RateLimit, intervals: &[Interval]) -> Option<Window> {
    let rate_us = limit.rate / US_PER_SECOND;
    let base_us = intervals.iter().map(|(sent_us, _)| *sent_us).min()?;
    let mut by_start = intervals.to_vec();
    by_start.sort_unstable_by_key(|(_, start_us)| *start_us);
    let mut by_sent: Vec<_> = by_start.iter().enumerate().collect();
    by_sent.sort_by_key(|(_, (sent_us, _))| Reverse(*sent_us));
    let allowed = |us: MonotonicUs| rate_us * (us - base_us) as f64;
    let mut tree = ExcessTree::new(by_start.len());
    let mut worst: Option<Window> = None;
    // The tree contains all intervals that begin at or after `from_us`. For the end of each, it holds the number of
    // these intervals that end by then, minus the requests that the rate allows between `base_us` and that end.
    for (index, (from_us, until_us)) in by_sent {
        tree.insert(index, -allowed(*until_us));
        let (last, excess) = tree.largest();
        let excess = excess + allowed(*from_us) - limit.burst;
        if excess > ROUNDING_TOLERANCE_REQUESTS
            && worst.as_ref().is_none_or(|worst| excess > worst.excess)
        {
            worst = Some(Window {
                excess,
                from_us: *from_us,
                until_us: by_start[last].1,
            });
        }
    }
    worst
}

/// A window that contains more whole intervals than the limit allows.
struct Window {
    excess: f64,
    from_us: MonotonicUs,
    until_us: MonotonicUs,
}
