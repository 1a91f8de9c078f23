//! The other workspaces while one sends far more than its part.

use std::time::Duration;

use anyhow::Result;
use standin::Fleet;
use standin::LoadReport;
use standin::RequestStream;

use crate::figure::Figure;
use crate::policy_fleet::KEYLESS;
use crate::policy_fleet::Side;
use crate::policy_fleet::WORKSPACES;
use crate::policy_fleet::collective;
use crate::policy_fleet::failures;
use crate::policy_fleet::load;
use crate::policy_fleet::part;
use crate::policy_fleet::start;
use crate::policy_fleet::streams;
use crate::policy_fleet::unlimited;
use crate::report::Report;

/// Requests a second that the upstreams bear: 50 slots at 100 ms.
const CAPACITY: f64 = 500.0;

/// Part of the capacity that all workspaces use together, in percent.
const LOAD_PERCENT: f64 = 60.0;

/// Time that requests take, in milliseconds.
const WORK_MS: u64 = 100;

/// Deadline of requests, in milliseconds.
const DEADLINE_MS: u64 = 1_000;

/// Time that each state is measured for.
const WINDOW: Duration = Duration::from_secs(10);

/// Factor on the rate of the hog, the first workspace.
const HOG_FACTOR: f64 = 5.0;

/// Smallest part of answers within the deadline, in percent.
const ANSWERED_TARGET: f64 = 99.0;

/// Largest p99 in relation to the p99 without the hog.
const TAIL_TARGET: f64 = 1.2;

/// The worst of the other workspaces.
struct Worst {
    answered_percent: f64,
    failures: Vec<Figure>,
    tail_ratio: f64,
}

/// Measures the worst served of the other workspaces.
pub(crate) fn run(seed: u64) -> Result<Report> {
    let product = measure(seed, Side::Product)?;
    let baseline = measure(seed, Side::Baseline)?;
    let answered = Figure::new(
        "answered within the deadline, worst other workspace",
        "%",
        product.answered_percent,
    );
    let tail = Figure::new(
        "p99 to that without the hog, worst other workspace",
        "1",
        product.tail_ratio,
    );
    let mut figures = vec![
        answered
            .baseline(baseline.answered_percent)
            .at_least(ANSWERED_TARGET),
        tail.baseline(baseline.tail_ratio).at_most(TAIL_TARGET),
    ];
    figures.extend(product.failures);
    Ok(Report::new("fair", seed, figures))
}

fn measure(seed: u64, side: Side) -> Result<Worst> {
    let fleet = unlimited(collective(WORK_MS));
    let fleet = match side {
        Side::Baseline => fleet.policy("queue", "fifo"),
        Side::Product => fleet,
    };
    let fleet = start(fleet)?;
    // Homes find out what their upstreams bear under this load.
    send(&fleet, seed, HOG_FACTOR)?;
    let alone = send(&fleet, seed, 1.0)?;
    let beside = send(&fleet, seed, HOG_FACTOR)?;
    let hog = Some(WORKSPACES[0].0);
    let others = part(&beside, |one| one.workspace.as_deref() != hog);
    let mut worst = Worst {
        answered_percent: 100.0,
        failures: failures(&others, "failed requests of others"),
        tail_ratio: 0.0,
    };
    for (name, _) in &WORKSPACES[1..] {
        let summary = beside.workspace_summary(name);
        let answered = 100.0 * summary.acknowledged as f64 / summary.sent.max(1) as f64;
        worst.answered_percent = worst.answered_percent.min(answered);
        let p99 = |report: &LoadReport| {
            report
                .workspace_summary(name)
                .latency_ms
                .get("p99")
                .copied()
        };
        let ratio = match (p99(&alone), p99(&beside)) {
            (Some(alone), Some(beside)) => beside / alone,
            _ => anyhow::bail!("no request of `{name}` was answered"),
        };
        worst.tail_ratio = worst.tail_ratio.max(ratio);
    }
    Ok(worst)
}

fn send(fleet: &Fleet, seed: u64, hog_factor: f64) -> Result<LoadReport> {
    let mut streams: Vec<_> = streams(KEYLESS, CAPACITY * LOAD_PERCENT / 100.0);
    for stream in &mut streams {
        stream.deadline_ms = Some(DEADLINE_MS);
    }
    let hog: &mut RequestStream = &mut streams[0];
    hog.rate *= hog_factor;
    Ok(load(fleet, seed, WINDOW, streams).run()?)
}
