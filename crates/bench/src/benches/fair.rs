//! Service of the other workspaces while one (the hog) sends far more than its share.

use std::time::Duration;

use anyhow::Result;
use standin::Fleet;
use standin::LoadReport;
use standin::RequestStream;

use crate::figure::Figure;
use crate::policy_fleet::KEYLESS_SERVICE;
use crate::policy_fleet::Side;
use crate::policy_fleet::WORKSPACES;
use crate::policy_fleet::collective_fleet;
use crate::policy_fleet::failure_figures;
use crate::policy_fleet::filter_observations;
use crate::policy_fleet::load_plan;
use crate::policy_fleet::start_warmed_up;
use crate::policy_fleet::with_unlimited_workspaces;
use crate::policy_fleet::workspace_streams;
use crate::report::Report;

/// Capacity of the upstreams: 50 slots at 100 ms per request.
const CAPACITY_REQUESTS_PER_SECOND: f64 = 500.0;

/// Load of all workspaces together without the hog's excess, in percent of the capacity.
const LOAD_PERCENT: f64 = 60.0;

/// Execution time of a request, in milliseconds.
const WORK_MS: u64 = 100;

/// Deadline of requests, in milliseconds.
const DEADLINE_MS: u64 = 1_000;

/// Duration of each measurement.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(10);

/// Factor by which the hog, the first workspace, raises its rate.
const HOG_FACTOR: f64 = 5.0;

/// Lower limit of the requests answered within the deadline, in percent.
const MIN_ANSWERED_PERCENT: f64 = 99.0;

/// Limit of the p99 latency, as a multiple of the p99 without the hog.
const MAX_P99_RATIO: f64 = 1.2;

/// Worst values among the other workspaces, each taken separately.
struct WorstWorkspace {
    answered_percent: f64,
    failures: Vec<Figure>,
    p99_ratio: f64,
}

/// Runs the `fair` benchmark.
pub(crate) fn run(seed: u64) -> Result<Report> {
    let product = measure(seed, Side::Product)?;
    let baseline = measure(seed, Side::Baseline)?;
    let answered = Figure::new(
        "answered within the deadline, worst other workspace",
        "%",
        product.answered_percent,
    );
    let p99_figure = Figure::new(
        "p99 to that without the hog, worst other workspace",
        "1",
        product.p99_ratio,
    );
    let mut figures = vec![
        answered
            .with_baseline(baseline.answered_percent)
            .at_least(MIN_ANSWERED_PERCENT),
        p99_figure
            .with_baseline(baseline.p99_ratio)
            .at_most(MAX_P99_RATIO),
    ];
    figures.extend(product.failures);
    Ok(Report::new("fair", seed, figures))
}

fn measure(seed: u64, side: Side) -> Result<WorstWorkspace> {
    let fleet = with_unlimited_workspaces(collective_fleet(WORK_MS));
    let fleet = match side {
        Side::Baseline => fleet.policy("queue", "fifo"),
        Side::Product => fleet,
    };
    let fleet = start_warmed_up(fleet)?;
    // Under this load, the limiters of the homes adapt to the capacity of their upstreams.
    send(&fleet, seed, HOG_FACTOR)?;
    let without_hog = send(&fleet, seed, 1.0)?;
    let with_hog = send(&fleet, seed, HOG_FACTOR)?;
    let hog = Some(WORKSPACES[0].0);
    let others = filter_observations(&with_hog, |observation| {
        observation.workspace.as_deref() != hog
    });
    let mut worst = WorstWorkspace {
        answered_percent: 100.0,
        failures: failure_figures(&others, "failed requests of others"),
        p99_ratio: 0.0,
    };
    for (name, _) in &WORKSPACES[1..] {
        let summary = with_hog.workspace_summary(name);
        let answered = 100.0 * summary.acknowledged as f64 / summary.sent.max(1) as f64;
        worst.answered_percent = worst.answered_percent.min(answered);
        let p99 = |report: &LoadReport| {
            report
                .workspace_summary(name)
                .latency_ms
                .get("p99")
                .copied()
        };
        let ratio = match (p99(&without_hog), p99(&with_hog)) {
            (Some(without_hog), Some(with_hog)) => with_hog / without_hog,
            _ => anyhow::bail!("no request of `{name}` was acknowledged"),
        };
        worst.p99_ratio = worst.p99_ratio.max(ratio);
    }
    Ok(worst)
}

fn send(fleet: &Fleet, seed: u64, hog_factor: f64) -> Result<LoadReport> {
    let mut streams: Vec<_> = workspace_streams(
        KEYLESS_SERVICE,
        CAPACITY_REQUESTS_PER_SECOND * LOAD_PERCENT / 100.0,
    );
    for stream in &mut streams {
        stream.deadline_ms = Some(DEADLINE_MS);
    }
    let hog: &mut RequestStream = &mut streams[0];
    hog.rate *= hog_factor;
    Ok(load_plan(fleet, seed, MEASUREMENT_DURATION, streams).run()?)
}
