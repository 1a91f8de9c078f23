//! Upstreams that start cold, or turn cold, under more load than they bear.

use std::time::Duration;

use anyhow::Result;
use standin::Execution;
use standin::Fleet;
use standin::MonotonicUs;
use standin::UpstreamFaults;
use standin::UpstreamOptions;
use standin::monotonic_us;

use crate::figure::Figure;
use crate::policy_fleet::KEYLESS;
use crate::policy_fleet::Side;
use crate::policy_fleet::collective;
use crate::policy_fleet::join;
use crate::policy_fleet::load;
use crate::policy_fleet::spawn;
use crate::policy_fleet::start;
use crate::policy_fleet::streams;
use crate::policy_fleet::unlimited;
use crate::report::Report;

/// Requests a second, above the 500 that 50 slots bear at 100 ms.
const RATE: f64 = 600.0;

/// Time that requests take, in milliseconds.
const WORK_MS: u64 = 100;

/// Deadline of requests, in milliseconds.
const DEADLINE_MS: u64 = 1_000;

/// Time from a cold start until warm, in milliseconds.
const WARM_MS: u64 = 4_000;

/// Requests that an upstream runs at once when warm.
const SLOTS: u32 = 10;

/// Time that each state is measured for.
const WINDOW: Duration = Duration::from_secs(10);

/// Time under load before upstreams turn cold.
const LOADED: Duration = Duration::from_secs(1);

/// Largest time to full capacity in relation to the ideal ramp.
const RAMP_TARGET: f64 = 1.5;

/// What one side did after upstreams became cold.
struct Ramp {
    /// Requests sent above what the upstream bore.
    over: f64,
    /// Time of the slowest upstream to full capacity, in relation to the ideal ramp.
    ratio: f64,
}

/// Measures cold starts and sudden turns.
pub(crate) fn run(seed: u64) -> Result<Report> {
    let product = measure(seed, Side::Product)?;
    let baseline = measure(seed, Side::Baseline)?;
    let mut figures = Vec::new();
    for (state, (own, other)) in ["start", "sudden turn"]
        .iter()
        .zip(product.iter().zip(&baseline))
    {
        let over = Figure::new(
            format!("requests above what is borne, {state}"),
            "1",
            own.over,
        );
        figures.push(over.baseline(other.over).at_most(0.0));
        let ratio = Figure::new(
            format!("time to full capacity to the ideal, {state}"),
            "1",
            own.ratio,
        );
        figures.push(ratio.baseline(other.ratio).at_most(RAMP_TARGET));
    }
    Ok(Report::new("cold", seed, figures))
}

fn measure(seed: u64, side: Side) -> Result<Vec<Ramp>> {
    let fleet = unlimited(collective(WORK_MS))
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
    let fleet = start(fleet)?;
    let started = ramp(&fleet, seed, Duration::ZERO, |vm| {
        Ok(fleet.restart_upstream(vm)?)
    })?;
    let faults = UpstreamFaults {
        turn_cold: true,
        ..UpstreamFaults::default()
    };
    let turned = ramp(&fleet, seed, LOADED, |vm| {
        Ok(fleet.set_upstream_faults(vm, &faults)?)
    })?;
    Ok(vec![started, turned])
}

/// Sends load, and makes all upstreams cold `after` its start.
fn ramp(
    fleet: &Fleet,
    seed: u64,
    after: Duration,
    make_cold: impl Fn(&str) -> Result<()>,
) -> Result<Ramp> {
    let mut streams = streams(KEYLESS, RATE);
    for stream in &mut streams {
        stream.deadline_ms = Some(DEADLINE_MS);
    }
    let load = spawn(load(fleet, seed, WINDOW, streams));
    std::thread::sleep(after);
    let mut cold = Vec::new();
    for vm in fleet.vms().into_iter().filter(|vm| vm.starts_with(KEYLESS)) {
        let since = monotonic_us();
        make_cold(&vm)?;
        cold.push((vm, since));
    }
    join(load)?;
    let executions = fleet.executions()?;
    let mut ramp = Ramp {
        over: 0.0,
        ratio: 0.0,
    };
    for (vm, since) in cold {
        let own = executions
            .iter()
            .filter(|execution| execution.vm == vm && execution.start_us >= since);
        let own: Vec<_> = own.collect();
        let over = own
            .iter()
            .filter(|execution| execution.running > execution.capacity);
        ramp.over += over.count() as f64;
        ramp.ratio = ramp.ratio.max(time_to_full(&own, since));
    }
    Ok(ramp)
}

/// Returns the time until an upstream ran requests in all slots, in relation to the ideal ramp.
fn time_to_full(executions: &[&Execution], since: MonotonicUs) -> f64 {
    let full = executions
        .iter()
        .filter(|execution| execution.was_started() && execution.running >= SLOTS)
        .filter(|execution| execution.capacity >= SLOTS)
        .map(|execution| execution.start_us)
        .min();
    let Some(full) = full else {
        return WINDOW.as_secs_f64() * 1_000.0 / WARM_MS as f64;
    };
    (full - since) as f64 / 1_000.0 / WARM_MS as f64
}
