//! An availability zone that is taken out of service and then returned to service.

use std::thread::sleep;
use std::time::Duration;

use anyhow::Result;
use cluster::Body;
use standin::Fleet;
use standin::FleetBuilder;
use standin::LoadReport;
use standin::Location;
use standin::Outage;
use standin::Trace;
use standin::Violation;
use standin::monotonic_us;

use crate::figure::Figure;
use crate::policy_fleet::KEYED_SERVICE;
use crate::policy_fleet::KEYLESS_SERVICE;
use crate::policy_fleet::Side;
use crate::policy_fleet::collective_fleet;
use crate::policy_fleet::failure_figures;
use crate::policy_fleet::filter_observations;
use crate::policy_fleet::join_load;
use crate::policy_fleet::load_plan;
use crate::policy_fleet::p99_ms;
use crate::policy_fleet::partnership_fleet;
use crate::policy_fleet::spawn_load;
use crate::policy_fleet::start_warmed_up;
use crate::policy_fleet::with_unlimited_workspaces;
use crate::policy_fleet::workspace_streams;
use crate::report::Report;

/// Execution time of a request, in milliseconds.
const WORK_MS: u64 = 200;

/// Load as a fraction of the capacity with all zones in service.
const LOAD_RATIO: f64 = 0.7;

/// Duration of each of the three stages: before the zone is taken out, while it is out, and after its return.
const STAGE_DURATION: Duration = Duration::from_secs(5);

/// Duration of the same load before the measurement.
const WARM_UP_DURATION: Duration = Duration::from_secs(4);

/// Time after the zone is taken out from which no new request may reach it, in microseconds.
const GRACE_US: u64 = 4_000_000;

/// Limit of the p99 latency, as a multiple of the p99 before the zone is taken out.
const MAX_P99_RATIO: f64 = 1.5;

/// A fleet to measure, with its total numbers of slots.
struct MeasuredFleet {
    builder: fn(u64) -> FleetBuilder,
    keyed_slots: f64,
    keyless_slots: f64,
    name: &'static str,
}

/// Results of one side of the comparison.
struct Counts {
    failures: Vec<Figure>,
    late_requests: f64,
    lost_or_duplicated: f64,
    refused: f64,
    p99_ratio: f64,
    unanswered: f64,
}

/// Runs the `zone` benchmark.
pub(crate) fn run(seed: u64) -> Result<Report> {
    let measured_fleets = [
        MeasuredFleet {
            builder: partnership_fleet,
            keyed_slots: 96.0,
            keyless_slots: 96.0,
            name: "Partnership",
        },
        MeasuredFleet {
            builder: collective_fleet,
            keyed_slots: 60.0,
            keyless_slots: 50.0,
            name: "Collective",
        },
    ];
    let mut figures = Vec::new();
    for measured_fleet in measured_fleets {
        let product = measure(seed, &measured_fleet, Side::Product)?;
        let baseline = measure(seed, &measured_fleet, Side::Baseline)?;
        figures.extend(compare(measured_fleet.name, &product, &baseline));
    }
    Ok(Report::new("zone", seed, figures))
}

fn compare(fleet_name: &str, product: &Counts, baseline: &Counts) -> Vec<Figure> {
    let figure = |what: &str, value: fn(&Counts) -> f64| {
        Figure::new(format!("{what}, {fleet_name}"), "1", value(product))
            .with_baseline(value(baseline))
    };
    let mut figures = vec![
        figure("requests lost or doubled", |counts| {
            counts.lost_or_duplicated
        })
        .at_most(0.0),
        figure(
            "requests without an answer or with an unknown outcome",
            |counts| counts.unanswered,
        )
        .at_most(0.0),
        figure("requests refused as not run", |counts| counts.refused),
        figure("requests that reached the zone 4 s later", |counts| {
            counts.late_requests
        })
        .at_most(0.0),
        figure("p99 to that before", |counts| counts.p99_ratio).at_most(MAX_P99_RATIO),
    ];
    figures.extend(product.failures.iter().cloned());
    figures
}

fn measure(seed: u64, measured_fleet: &MeasuredFleet, side: Side) -> Result<Counts> {
    let fleet = with_unlimited_workspaces((measured_fleet.builder)(WORK_MS));
    let fleet = match side {
        Side::Baseline => fleet
            .policy("chooser", "round-robin")
            .policy("limit", "fixed")
            .policy("extra_requests_percent", 0),
        Side::Product => fleet,
    };
    let fleet = start_warmed_up(fleet)?;
    let rate = |slots: f64| LOAD_RATIO * slots * 1_000.0 / WORK_MS as f64;
    let mut streams = workspace_streams(KEYLESS_SERVICE, rate(measured_fleet.keyless_slots));
    let mut keyed = workspace_streams(KEYED_SERVICE, rate(measured_fleet.keyed_slots));
    for stream in &mut keyed {
        "POST".clone_into(&mut stream.method);
    }
    streams.extend(keyed);
    // Under this load, the limiters of the homes adapt to the capacity of their upstreams.
    load_plan(&fleet, seed, WARM_UP_DURATION, streams.clone()).run()?;
    let load = spawn_load(load_plan(&fleet, seed, 3 * STAGE_DURATION, streams));
    sleep(STAGE_DURATION);
    let (from_us, until_us) = take_out_and_return(&fleet)?;
    let report = join_load(load)?;
    count_outcomes(&fleet, &report, from_us, until_us)
}

/// Takes a zone out of service and returns it to service, and returns the times of both changes.
fn take_out_and_return(fleet: &Fleet) -> Result<(u64, u64)> {
    let zone = "b".to_owned();
    let append_zone_change = |out, base| {
        let zone = zone.clone();
        let body = Body::Zone {
            zone,
            out,
            base,
            position: 0,
        };
        fleet.log().append(body).map_err(anyhow::Error::msg)
    };
    let base = append_zone_change(true, 0)?;
    let from_us = monotonic_us();
    sleep(STAGE_DURATION);
    let until_us = monotonic_us();
    append_zone_change(false, base)?;
    Ok((from_us, until_us))
}

fn count_outcomes(
    fleet: &Fleet,
    report: &LoadReport,
    from_us: u64,
    until_us: u64,
) -> Result<Counts> {
    let mut trace: Trace = fleet.trace(report)?;
    trace.facts.grace_us = GRACE_US;
    trace.facts.outages.push(Outage {
        from_us,
        location: Location::Zone("b".to_owned()),
        until_us: Some(until_us),
    });
    let violations = trace.check();
    let late_requests =
        |violation: &&Violation| matches!(violation, Violation::OutOfService { .. });
    let lost_or_duplicated = |violation: &&Violation| {
        matches!(
            violation,
            Violation::FalseNotRun { .. }
                | Violation::LostRequest { .. }
                | Violation::DuplicateExecution { .. }
        )
    };
    let before = filter_observations(report, |observation| observation.due_us < from_us);
    let after = filter_observations(report, |observation| observation.due_us >= from_us);
    let observations = &report.observations;
    let refused = observations
        .iter()
        .filter(|observation| observation.is_not_run())
        .count();
    let acknowledged = observations
        .iter()
        .filter(|observation| observation.is_acknowledged())
        .count();
    Ok(Counts {
        failures: failure_figures(report, "failed"),
        late_requests: violations.iter().filter(late_requests).count() as f64,
        lost_or_duplicated: violations.iter().filter(lost_or_duplicated).count() as f64,
        refused: refused as f64,
        p99_ratio: p99_ms(&after)? / p99_ms(&before)?,
        unanswered: (observations.len() - acknowledged - refused) as f64,
    })
}
