//! Ramp to full capacity of upstreams that start cold or suddenly become cold, under more load than their capacity.

use std::time::Duration;

use anyhow::Result;
use standin::Execution;
use standin::Fleet;
use standin::MonotonicUs;
use standin::UpstreamFaults;
use standin::UpstreamOptions;
use standin::monotonic_us;

use crate::figure::Figure;
use crate::policy_fleet::KEYLESS_SERVICE;
use crate::policy_fleet::Side;
use crate::policy_fleet::collective_fleet;
use crate::policy_fleet::join_load;
use crate::policy_fleet::load_plan;
use crate::policy_fleet::spawn_load;
use crate::policy_fleet::start_warmed_up;
use crate::policy_fleet::with_unlimited_workspaces;
use crate::policy_fleet::workspace_streams;
use crate::report::Report;

/// Requests per second, above the capacity of 500 that 50 slots have at 100 ms per request.
const REQUESTS_PER_SECOND: f64 = 600.0;

/// Execution time of a request, in milliseconds.
const WORK_MS: u64 = 100;

/// Deadline of requests, in milliseconds.
const DEADLINE_MS: u64 = 1_000;

/// Time in which a cold upstream reaches full capacity, in milliseconds.
const WARM_MS: u64 = 4_000;

/// Requests that a warm upstream executes concurrently.
const SLOTS: u32 = 10;

/// Duration of each measurement.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(10);

/// Duration of the load before upstreams become cold.
const LOAD_BEFORE_COLD: Duration = Duration::from_secs(1);

/// Limit of the time to full capacity, as a multiple of the ideal ramp time [`WARM_MS`].
const MAX_RAMP_RATIO: f64 = 1.5;

/// Ramp to full capacity after upstreams became cold.
struct Ramp {
    /// Requests that were executed beyond the capacity of their upstream.
    excess_requests: f64,
    /// Time of the slowest upstream to full capacity, as a multiple of the ideal ramp time.
    time_ratio: f64,
}

/// Runs the `cold` benchmark: upstreams that start cold, and warm upstreams that suddenly become cold.
pub(crate) fn run(seed: u64) -> Result<Report> {
    let product = measure(seed, Side::Product)?;
    let baseline = measure(seed, Side::Baseline)?;
    let mut figures = Vec::new();
    for (state, (product, baseline)) in ["start", "sudden turn"]
        .iter()
        .zip(product.iter().zip(&baseline))
    {
        let excess = Figure::new(
            format!("requests above what is borne, {state}"),
            "1",
            product.excess_requests,
        );
        figures.push(excess.with_baseline(baseline.excess_requests).at_most(0.0));
        let ratio = Figure::new(
            format!("time to full capacity to the ideal, {state}"),
            "1",
            product.time_ratio,
        );
        figures.push(
            ratio
                .with_baseline(baseline.time_ratio)
                .at_most(MAX_RAMP_RATIO),
        );
    }
    Ok(Report::new("cold", seed, figures))
}

fn measure(seed: u64, side: Side) -> Result<Vec<Ramp>> {
    let fleet = with_unlimited_workspaces(collective_fleet(WORK_MS))
        .upstreams(UpstreamOptions {
            slots: SLOTS,
            warm_ms: WARM_MS,
            work_ms: WORK_MS,
            ..UpstreamOptions::default()
        })
        .limit("warm_up_ms", WARM_MS);
    let fleet = match side {
        Side::Baseline => fleet.policy("limit", "fixed"),
        Side::Product => fleet,
    };
    let fleet = start_warmed_up(fleet)?;
    let started = measure_ramp(&fleet, seed, Duration::ZERO, |vm| {
        Ok(fleet.restart_upstream(vm)?)
    })?;
    let faults = UpstreamFaults {
        turn_cold: true,
        ..UpstreamFaults::default()
    };
    let turned_cold = measure_ramp(&fleet, seed, LOAD_BEFORE_COLD, |vm| {
        Ok(fleet.set_upstream_faults(vm, &faults)?)
    })?;
    Ok(vec![started, turned_cold])
}

/// Sends load, and calls `make_cold` for every upstream without keys once `delay` has passed.
fn measure_ramp(
    fleet: &Fleet,
    seed: u64,
    delay: Duration,
    make_cold: impl Fn(&str) -> Result<()>,
) -> Result<Ramp> {
    let mut streams = workspace_streams(KEYLESS_SERVICE, REQUESTS_PER_SECOND);
    for stream in &mut streams {
        stream.deadline_ms = Some(DEADLINE_MS);
    }
    let load = spawn_load(load_plan(fleet, seed, MEASUREMENT_DURATION, streams));
    std::thread::sleep(delay);
    let mut cold = Vec::new();
    for vm in fleet
        .vms()
        .into_iter()
        .filter(|vm| vm.starts_with(KEYLESS_SERVICE))
    {
        let since = monotonic_us();
        make_cold(&vm)?;
        cold.push((vm, since));
    }
    join_load(load)?;
    let executions = fleet.executions()?;
    let mut ramp = Ramp {
        excess_requests: 0.0,
        time_ratio: 0.0,
    };
    for (vm, since) in cold {
        let own_executions = executions
            .iter()
            .filter(|execution| execution.vm == vm && execution.start_us >= since);
        let own_executions: Vec<_> = own_executions.collect();
        let excess = own_executions
            .iter()
            .filter(|execution| execution.running > execution.capacity);
        ramp.excess_requests += excess.count() as f64;
        ramp.time_ratio = ramp
            .time_ratio
            .max(time_to_full_capacity_ratio(&own_executions, since));
    }
    Ok(ramp)
}

/// Returns the time until an upstream executed requests in all slots, as a multiple of the ideal ramp time.
///
/// An upstream that never does counts with the whole duration of the measurement.
fn time_to_full_capacity_ratio(executions: &[&Execution], since: MonotonicUs) -> f64 {
    let full_us = executions
        .iter()
        .filter(|execution| execution.was_started() && execution.running >= SLOTS)
        .filter(|execution| execution.capacity >= SLOTS)
        .map(|execution| execution.start_us)
        .min();
    let Some(full_us) = full_us else {
        return MEASUREMENT_DURATION.as_secs_f64() * 1_000.0 / WARM_MS as f64;
    };
    (full_us - since) as f64 / 1_000.0 / WARM_MS as f64
}
