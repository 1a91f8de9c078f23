//! Tail latency while some upstreams are slow and report wrong loads.

use std::time::Duration;

use anyhow::Result;
use standin::Fleet;
use standin::LoadReport;
use standin::UpstreamFaults;

use crate::figure::Figure;
use crate::policy_fleet::KEYLESS_SERVICE;
use crate::policy_fleet::Side;
use crate::policy_fleet::collective_fleet;
use crate::policy_fleet::load_plan;
use crate::policy_fleet::p99_ms;
use crate::policy_fleet::start_warmed_up;
use crate::policy_fleet::with_unlimited_workspaces;
use crate::policy_fleet::workspace_streams;
use crate::report::Report;

/// Requests per second.
const REQUESTS_PER_SECOND: f64 = 300.0;

/// Execution time of a request, in milliseconds.
const WORK_MS: u64 = 20;

/// Duration of the measurement with each number of stragglers.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(8);

/// Factor by which execution takes longer at a straggler.
const STRAGGLE_FACTOR: f64 = 10.0;

/// Delay of the load reports of stragglers, in milliseconds.
const LOAD_LAG_MS: u64 = 2_000;

/// Limit of the p99 latency, as a multiple of the p99 without stragglers.
const MAX_P99_RATIO: f64 = 1.5;

/// Limit of the executions beyond one per request, in percent of the requests.
const MAX_EXTRA_PERCENT: f64 = 5.0;

/// Measurements with one number of stragglers.
struct Step {
    extra_percent: f64,
    p99_ms: f64,
}

/// Runs the `straggler` benchmark, with zero, one and two stragglers among five upstreams.
pub(crate) fn run(seed: u64) -> Result<Report> {
    let product = measure(seed, Side::Product)?;
    let baseline = measure(seed, Side::Baseline)?;
    let mut figures = Vec::new();
    for (stragglers, (product_step, baseline_step)) in product.iter().zip(&baseline).enumerate() {
        let name = |what: &str| format!("{what}, {stragglers} of 5 slow");
        figures.push(
            Figure::new(name("p99"), "ms", product_step.p99_ms).with_baseline(baseline_step.p99_ms),
        );
        if stragglers > 0 {
            let p99_ratio = |steps: &[Step], step: &Step| step.p99_ms / steps[0].p99_ms;
            let ratio = Figure::new(
                name("p99 to that without"),
                "1",
                p99_ratio(&product, product_step),
            );
            figures.push(
                ratio
                    .with_baseline(p99_ratio(&baseline, baseline_step))
                    .at_most(MAX_P99_RATIO),
            );
        }
        let extra = Figure::new(name("extra requests"), "%", product_step.extra_percent);
        figures.push(
            extra
                .with_baseline(baseline_step.extra_percent)
                .at_most(MAX_EXTRA_PERCENT),
        );
    }
    Ok(Report::new("straggler", seed, figures))
}

fn measure(seed: u64, side: Side) -> Result<Vec<Step>> {
    let fleet = with_unlimited_workspaces(collective_fleet(WORK_MS));
    let fleet = match side {
        Side::Baseline => fleet
            .policy("chooser", "round-robin")
            .policy("extra_requests_percent", 0),
        Side::Product => fleet,
    };
    let fleet = start_warmed_up(fleet)?;
    (0..=2)
        .map(|stragglers| measure_step(&fleet, seed, stragglers))
        .collect()
}

fn measure_step(fleet: &Fleet, seed: u64, stragglers: usize) -> Result<Step> {
    let is_keyless = |vm: &String| vm.starts_with(KEYLESS_SERVICE);
    // The first straggler always reports zero load, the second an outdated load.
    for (index, vm) in fleet
        .vms()
        .iter()
        .filter(|vm| is_keyless(vm))
        .take(stragglers)
        .enumerate()
    {
        let faults = UpstreamFaults {
            load: (index == 0).then_some(0.0),
            load_lag_ms: LOAD_LAG_MS,
            straggle_factor: STRAGGLE_FACTOR,
            ..UpstreamFaults::default()
        };
        fleet.set_upstream_faults(vm, &faults)?;
    }
    let before = count_executions(fleet)?;
    let report = load_plan(
        fleet,
        seed,
        MEASUREMENT_DURATION,
        workspace_streams(KEYLESS_SERVICE, REQUESTS_PER_SECOND),
    )
    .run()?;
    let execution_count = count_executions(fleet)? - before;
    Ok(Step {
        extra_percent: extra_percent(&report, execution_count),
        p99_ms: p99_ms(&report)?,
    })
}

fn count_executions(fleet: &Fleet) -> Result<f64> {
    Ok(fleet.executions()?.len() as f64)
}

fn extra_percent(report: &LoadReport, execution_count: f64) -> f64 {
    let sent = report.observations.len() as f64;
    100.0 * (execution_count - sent) / sent
}
