//! No workspace gets more than its rate and burst across all VMs.
//!
//! A request was let in at some time between being sent and being started, so that a window that begins before it was
//! sent and ends after it was started held it for certain.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::MonotonicUs;
use crate::RateLimit;
use crate::Trace;
use crate::Violation;
use crate::checker::ExcessTree;
use crate::checker::ExecutionIndex;

const US_PER_SECOND: f64 = 1_000_000.0;

/// Part of a request that rounding may make up.
const ROUNDING: f64 = 1e-3;

/// Times between which a request was let in.
type Interval = (MonotonicUs, MonotonicUs);

pub(crate) fn check(trace: &Trace, index: &ExecutionIndex) -> Vec<Violation> {
    let intervals = intervals(trace, index);
    let limits = trace.facts.limits.iter();
    let exceeded = limits.filter_map(|(workspace, limit)| {
        let window = worst_window(*limit, intervals.get(workspace.as_str())?)?;
        Some(Violation::RateExceeded {
            workspace: workspace.clone(),
            from_us: window.from_us,
            until_us: window.until_us,
        })
    });
    exceeded.collect()
}

/// Returns when each request that ran was let in, by workspace.
fn intervals<'a>(trace: &'a Trace, index: &ExecutionIndex) -> BTreeMap<&'a str, Vec<Interval>> {
    let mut sent = BTreeMap::new();
    for observation in &trace.observations {
        for execution in index.executions_of(observation) {
            let id = execution.request_id.as_str();
            let first = sent.entry(id).or_insert(observation.sent_us);
            *first = observation.sent_us.min(*first);
        }
    }
    let mut by_request = BTreeMap::new();
    let started = trace.executions.iter().filter(|found| found.was_started());
    for execution in started {
        let Some(workspace) = &execution.workspace else {
            continue;
        };
        let id = execution.request_id.as_str();
        let start_us = execution.start_us;
        let sent_us = sent
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

/// Finds the window that holds the most whole intervals beyond the limit.
fn worst_window(limit: RateLimit, intervals: &[Interval]) -> Option<Window> {
    let rate_us = limit.rate / US_PER_SECOND;
    let base_us = intervals.iter().map(|(sent_us, _)| *sent_us).min()?;
    let mut by_start = intervals.to_vec();
    by_start.sort_unstable_by_key(|(_, start_us)| *start_us);
    let mut by_sent: Vec<_> = by_start.iter().enumerate().collect();
    by_sent.sort_by_key(|(_, (sent_us, _))| Reverse(*sent_us));
    let allowed = |us: MonotonicUs| rate_us * (us - base_us) as f64;
    let mut excesses = ExcessTree::new(by_start.len());
    let mut worst: Option<Window> = None;
    // All intervals that begin at or after `from_us` are in the tree. The tree holds for the end of each the number of
    // those that end by then, without what the rate allows from `base_us` on.
    for (index, (from_us, until_us)) in by_sent {
        excesses.insert(index, -allowed(*until_us));
        let (last, excess) = excesses.largest();
        let excess = excess + allowed(*from_us) - limit.burst;
        if excess > ROUNDING && worst.as_ref().is_none_or(|worst| excess > worst.excess) {
            worst = Some(Window {
                excess,
                from_us: *from_us,
                until_us: by_start[last].1,
            });
        }
    }
    worst
}

/// A window that holds too many intervals.
struct Window {
    excess: f64,
    from_us: MonotonicUs,
    until_us: MonotonicUs,
}
