//! Connections to upstreams that go silent.

use std::thread::sleep;
use std::time::Duration;

use anyhow::Result;
use standin::LoadReport;
use standin::UpstreamFaults;
use standin::Violation;
use standin::monotonic_us;

use crate::figure::Figure;
use crate::policy_fleet::KEYED;
use crate::policy_fleet::KEYLESS;
use crate::policy_fleet::collective;
use crate::policy_fleet::join;
use crate::policy_fleet::load;
use crate::policy_fleet::p99_ms;
use crate::policy_fleet::part;
use crate::policy_fleet::spawn;
use crate::policy_fleet::start;
use crate::policy_fleet::streams;
use crate::policy_fleet::unlimited;
use crate::report::Report;

/// Requests a second to each service.
const RATE: f64 = 150.0;

/// Time that the load is sent for.
const WINDOW: Duration = Duration::from_secs(20);

/// Time under load before connections go silent.
const BEFORE: Duration = Duration::from_secs(6);

/// Time over which a p99 is taken, in microseconds.
const SLICE_US: u64 = 1_000_000;

/// Slices after the silence in which the p99 is looked at.
const SLICES: u64 = 12;

/// Ratio to the p99 before at which the p99 counts as back.
const BACK_RATIO: f64 = 1.5;

/// Largest time until the p99 is back, in seconds.
const BACK_TARGET_SECONDS: f64 = 5.0;

/// Silences the connections of every second upstream.
pub(crate) fn run(seed: u64) -> Result<Report> {
    let fleet = start(unlimited(collective(20)))?;
    let mut all = streams(KEYLESS, RATE);
    let mut keyed = streams(KEYED, RATE);
    for stream in &mut keyed {
        "POST".clone_into(&mut stream.method);
    }
    all.extend(keyed);
    let load = spawn(load(&fleet, seed, WINDOW, all));
    sleep(BEFORE);
    let silent_us = monotonic_us();
    let faults = UpstreamFaults {
        silence_connections: true,
        ..UpstreamFaults::default()
    };
    for vm in fleet.vms().iter().step_by(2) {
        fleet.set_upstream_faults(vm, &faults)?;
    }
    let report = join(load)?;
    let violations = fleet.trace(&report)?.check();
    let lost_or_doubled = violations.iter().filter(|violation| {
        matches!(
            violation,
            Violation::FalseNotRun { .. }
                | Violation::LostRequest { .. }
                | Violation::DuplicateExecution { .. }
        )
    });
    let before = p99_ms(&part(&report, |one| one.due_us < silent_us))?;
    let summary = report.summary();
    let unanswered = summary.sent - summary.acknowledged;
    let figures = vec![
        Figure::new(
            "requests lost or doubled",
            "1",
            lost_or_doubled.count() as f64,
        )
        .at_most(0.0),
        Figure::new(
            "requests refused or without an answer",
            "1",
            unanswered as f64,
        ),
        Figure::new("p99 before", "ms", before),
        Figure::new(
            "time until p99 is back",
            "s",
            back_after(&report, silent_us, before)?,
        )
        .at_most(BACK_TARGET_SECONDS),
    ];
    Ok(Report::new("silent", seed, figures))
}

/// Returns the end of the last slice whose p99 is not back, in seconds after the silence.
fn back_after(report: &LoadReport, silent_us: u64, before_ms: f64) -> Result<f64> {
    let mut back = 0.0;
    for slice in 0..SLICES {
        let start = silent_us + slice * SLICE_US;
        let own = part(report, |one| {
            (start..start + SLICE_US).contains(&one.due_us)
        });
        if p99_ms(&own)? > BACK_RATIO * before_ms {
            back = (slice + 1) as f64;
        }
    }
    Ok(back)
}
