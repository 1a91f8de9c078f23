//! Rates of workspaces while entries and owners of buckets die.

use std::thread::sleep;
use std::time::Duration;

use anyhow::Result;
use standin::Fleet;
use standin::LoadReport;
use standin::Violation;
use standin::WorkspacePlan;

use crate::figure::Figure;
use crate::policy_fleet::KEYLESS;
use crate::policy_fleet::Side;
use crate::policy_fleet::WORKSPACES;
use crate::policy_fleet::collective;
use crate::policy_fleet::join;
use crate::policy_fleet::load;
use crate::policy_fleet::spawn;
use crate::policy_fleet::start;
use crate::policy_fleet::stream;
use crate::report::Report;

/// Rate of all workspaces together, in requests a second.
const RATE: f64 = 500.0;

/// Part of its rate that each workspace sends.
const USE: f64 = 0.9;

/// Time that the load is sent for.
const WINDOW: Duration = Duration::from_secs(20);

/// Time between two events.
const STEP: Duration = Duration::from_secs(3);

/// VMs that die one after another. Each is an entry and owns some of the 32 buckets.
const DYING: [&str; 3] = ["ordering-a-2", "ordering-c-1", "workshop-b-1"];

/// Times that the most used entries stand in the list that callers take one of at random.
const ENTRY_WEIGHTS: [usize; 5] = [16, 8, 4, 3, 2];

/// Largest part of wrongful refusals, in percent.
const WRONGFUL_TARGET: f64 = 0.1;

/// What one side did.
struct Counts {
    /// Windows in which a workspace got more than its rate and burst.
    excess: f64,
    other_percent: f64,
    refused_percent: f64,
    wrongful_percent: f64,
}

/// Measures refusals within the rate, and requests above it.
pub(crate) fn run(seed: u64) -> Result<Report> {
    let mut figures = Vec::new();
    for owners_die in [false, true] {
        let product = measure(seed, Side::Product, owners_die)?;
        let baseline = measure(seed, Side::Baseline, owners_die)?;
        figures.extend(compare(&product, &baseline, owners_die));
    }
    Ok(Report::new("limits", seed, figures))
}

fn compare(product: &Counts, baseline: &Counts, owners_die: bool) -> Vec<Figure> {
    let state = if owners_die { "owners die" } else { "all live" };
    let figure = |what: &str, unit, value: fn(&Counts) -> f64| {
        let name = format!("{what}, {state}");
        Figure::new(name, unit, value(product)).baseline(value(baseline))
    };
    vec![
        figure("wrongful refusals", "%", |counts| counts.wrongful_percent).at_most(WRONGFUL_TARGET),
        figure("refusals for the rate", "%", |counts| {
            counts.refused_percent
        }),
        figure("refusals for other reasons", "%", |counts| {
            counts.other_percent
        }),
        figure("windows above rate and burst", "1", |counts| counts.excess).at_most(0.0),
    ]
}

fn measure(seed: u64, side: Side, owners_die: bool) -> Result<Counts> {
    let fleet = start(describe(side))?;
    let streams = plans()
        .into_iter()
        .map(|plan| stream(&plan.name, KEYLESS, f64::from(plan.rate) * USE));
    let mut plan = load(&fleet, seed, WINDOW, streams.collect());
    plan.entries = uneven(&fleet);
    let load = spawn(plan);
    if owners_die {
        for vm in DYING {
            sleep(STEP);
            fleet.kill(vm)?;
            sleep(STEP);
            fleet.restart(vm)?;
        }
    }
    let report = join(load)?;
    let violations = fleet.trace(&report)?.check();
    let excess = violations
        .iter()
        .filter(|violation| matches!(violation, Violation::RateExceeded { .. }));
    let (refused, wrongful) = refusals(&report);
    let sent = report.observations.len() as f64;
    let not_run = report
        .observations
        .iter()
        .filter(|one| one.reason.is_some());
    let other = not_run.count() as u64 - refused;
    Ok(Counts {
        excess: excess.count() as f64,
        other_percent: 100.0 * other as f64 / sent,
        refused_percent: 100.0 * refused as f64 / sent,
        wrongful_percent: 100.0 * wrongful as f64 / sent,
    })
}

fn describe(side: Side) -> standin::FleetBuilder {
    let fleet = plans()
        .into_iter()
        .fold(collective(2), standin::FleetBuilder::workspace);
    match side {
        Side::Baseline => fleet.policy("rate", "even-split"),
        Side::Product => fleet,
    }
}

/// Returns workspaces whose burst is what they may send within a second.
fn plans() -> Vec<WorkspacePlan> {
    let plan = |(name, percent): &(&str, f64)| {
        let rate = (RATE * percent / 100.0).round() as u32;
        WorkspacePlan::new(name).with_rate_limit(rate, rate)
    };
    WORKSPACES.iter().map(plan).collect()
}

fn uneven(fleet: &Fleet) -> Vec<std::net::SocketAddr> {
    let weights = ENTRY_WEIGHTS.into_iter().chain(std::iter::repeat(1));
    let entries = fleet.entries().into_iter().zip(weights);
    entries
        .flat_map(|(entry, weight)| std::iter::repeat_n(entry, weight))
        .collect()
}

/// Returns the refusals for the rate, and those that a single bucket for the whole fleet would not have refused.
fn refusals(report: &LoadReport) -> (u64, u64) {
    let (mut refused, mut wrongful) = (0, 0);
    for plan in plans() {
        let own = report
            .observations
            .iter()
            .filter(|one| one.workspace.as_deref() == Some(plan.name.as_str()));
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
