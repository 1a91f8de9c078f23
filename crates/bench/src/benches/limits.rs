//! Rate limits of workspaces while entries and owners of buckets are killed.

use std::thread::sleep;
use std::time::Duration;

use anyhow::Result;
use standin::Fleet;
use standin::LoadReport;
use standin::Violation;
use standin::WorkspacePlan;

use crate::figure::Figure;
use crate::policy_fleet::KEYLESS_SERVICE;
use crate::policy_fleet::Side;
use crate::policy_fleet::WORKSPACES;
use crate::policy_fleet::collective_fleet;
use crate::policy_fleet::idempotent_stream;
use crate::policy_fleet::join_load;
use crate::policy_fleet::load_plan;
use crate::policy_fleet::spawn_load;
use crate::policy_fleet::start_warmed_up;
use crate::report::Report;

/// Sum of the rate limits of all workspaces, in requests per second.
const TOTAL_REQUESTS_PER_SECOND: f64 = 500.0;

/// Fraction of its rate limit that each workspace sends.
const RATE_USE_RATIO: f64 = 0.9;

/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(20);

/// Time between two kills or restarts.
const EVENT_INTERVAL: Duration = Duration::from_secs(3);

/// VMs that are killed one after another. Each is an entry and owns some of the 32 buckets.
const KILLED_VMS: [&str; 3] = ["ordering-a-2", "ordering-c-1", "workshop-b-1"];

/// How often the first entries occur in the list from which callers choose at random. Other entries occur once.
const ENTRY_WEIGHTS: [usize; 5] = [16, 8, 4, 3, 2];

/// Limit of wrongful refusals, in percent of the requests.
const MAX_WRONGFUL_PERCENT: f64 = 0.1;

/// Results of one side of the comparison.
struct Counts {
    /// Windows in which more requests of a workspace were admitted than its rate and burst allow.
    excess_windows: f64,
    other_percent: f64,
    refused_percent: f64,
    wrongful_percent: f64,
}

/// Runs the `limits` benchmark, which measures refusals within the rate and requests admitted above it.
pub(crate) fn run(seed: u64) -> Result<Report> {
    let mut figures = Vec::new();
    for kills_owners in [false, true] {
        let product = measure(seed, Side::Product, kills_owners)?;
        let baseline = measure(seed, Side::Baseline, kills_owners)?;
        figures.extend(compare(&product, &baseline, kills_owners));
    }
    Ok(Report::new("limits", seed, figures))
}

fn compare(product: &Counts, baseline: &Counts, kills_owners: bool) -> Vec<Figure> {
    let state = if kills_owners {
        "owners die"
    } else {
        "all live"
    };
    let figure = |what: &str, unit, value: fn(&Counts) -> f64| {
        let name = format!("{what}, {state}");
        Figure::new(name, unit, value(product)).with_baseline(value(baseline))
    };
    vec![
        figure("wrongful refusals", "%", |counts| counts.wrongful_percent)
            .at_most(MAX_WRONGFUL_PERCENT),
        figure("refusals for the rate", "%", |counts| {
            counts.refused_percent
        }),
        figure("refusals for other reasons", "%", |counts| {
            counts.other_percent
        }),
        figure("windows above rate and burst", "1", |counts| {
            counts.excess_windows
        })
        .at_most(0.0),
    ]
}

fn measure(seed: u64, side: Side, kills_owners: bool) -> Result<Counts> {
    let fleet = start_warmed_up(fleet_builder(side))?;
    let streams = workspace_plans().into_iter().map(|plan| {
        idempotent_stream(
            &plan.name,
            KEYLESS_SERVICE,
            f64::from(plan.rate) * RATE_USE_RATIO,
        )
    });
    let mut plan = load_plan(&fleet, seed, LOAD_DURATION, streams.collect());
    plan.entries = weighted_entries(&fleet);
    let load = spawn_load(plan);
    if kills_owners {
        for vm in KILLED_VMS {
            sleep(EVENT_INTERVAL);
            fleet.kill(vm)?;
            sleep(EVENT_INTERVAL);
            fleet.restart(vm)?;
        }
    }
    let report = join_load(load)?;
    let violations = fleet.trace(&report)?.check();
    let excess_windows = violations
        .iter()
        .filter(|violation| matches!(violation, Violation::RateExceeded { .. }));
    let (refused, wrongful) = count_refusals(&report);
    let sent = report.observations.len() as f64;
    let refusals = report
        .observations
        .iter()
        .filter(|observation| observation.reason.is_some());
    let other = refusals.count() as u64 - refused;
    Ok(Counts {
        excess_windows: excess_windows.count() as f64,
        other_percent: 100.0 * other as f64 / sent,
        refused_percent: 100.0 * refused as f64 / sent,
        wrongful_percent: 100.0 * wrongful as f64 / sent,
    })
}

fn fleet_builder(side: Side) -> standin::FleetBuilder {
    let fleet = workspace_plans()
        .into_iter()
        .fold(collective_fleet(2), standin::FleetBuilder::workspace);
    match side {
        Side::Baseline => fleet.policy("rate", "even-split"),
        Side::Product => fleet,
    }
}

/// Returns workspaces whose burst equals one second of their rate.
fn workspace_plans() -> Vec<WorkspacePlan> {
    let plan = |(name, percent): &(&str, f64)| {
        let rate = (TOTAL_REQUESTS_PER_SECOND * percent / 100.0).round() as u32;
        WorkspacePlan::new(name).with_rate_limit(rate, rate)
    };
    WORKSPACES.iter().map(plan).collect()
}

fn weighted_entries(fleet: &Fleet) -> Vec<std::net::SocketAddr> {
    let weights = ENTRY_WEIGHTS.into_iter().chain(std::iter::repeat(1));
    let entries = fleet.entries().into_iter().zip(weights);
    entries
        .flat_map(|(entry, weight)| std::iter::repeat_n(entry, weight))
        .collect()
}

/// Returns the number of refusals for the rate, and how many of them are wrongful.
///
/// A refusal is wrongful if a single bucket for the whole fleet would have admitted the request.
fn count_refusals(report: &LoadReport) -> (u64, u64) {
    let (mut refused, mut wrongful) = (0, 0);
    for plan in workspace_plans() {
        let own = report
            .observations
            .iter()
            .filter(|observation| observation.workspace.as_deref() == Some(plan.name.as_str()));
        let (mut level, mut last_us) = (f64::from(plan.burst), 0);
        for observation in own {
            let elapsed = observation.sent_us.saturating_sub(last_us) as f64 / 1_000_000.0;
            level = (level + elapsed * f64::from(plan.rate)).min(f64::from(plan.burst));
            last_us = observation.sent_us;
            let is_refused = observation.reason.as_deref() == Some("rate-exceeded");
            refused += u64::from(is_refused);
            wrongful += u64::from(is_refused && level >= 1.0);
            if !is_refused && level >= 1.0 {
                level -= 1.0;
            }
        }
    }
    (refused, wrongful)
}
