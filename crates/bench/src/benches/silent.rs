//! Recovery after connections to upstreams stop responding.

use std::thread::sleep;
use std::time::Duration;

use anyhow::Result;
use standin::LoadReport;
use standin::UpstreamFaults;
use standin::Violation;
use standin::monotonic_us;

use crate::figure::Figure;
use crate::policy_fleet::KEYED_SERVICE;
use crate::policy_fleet::KEYLESS_SERVICE;
use crate::policy_fleet::collective_fleet;
use crate::policy_fleet::filter_observations;
use crate::policy_fleet::join_load;
use crate::policy_fleet::load_plan;
use crate::policy_fleet::p99_ms;
use crate::policy_fleet::spawn_load;
use crate::policy_fleet::start_warmed_up;
use crate::policy_fleet::with_unlimited_workspaces;
use crate::policy_fleet::workspace_streams;
use crate::report::Report;

/// Requests per second to each service.
const REQUESTS_PER_SECOND: f64 = 150.0;

/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(20);

/// Duration of the load before connections are silenced.
const LOAD_BEFORE_SILENCE: Duration = Duration::from_secs(6);

/// Length of the time slices over which a p99 is computed, in microseconds.
const SLICE_US: u64 = 1_000_000;

/// Number of time slices after the connections are silenced whose p99 is checked.
const SLICE_COUNT: u64 = 12;

/// Largest ratio of the p99 of a slice to the p99 before the connections are silenced at which the p99 counts as
/// recovered.
const RECOVERED_P99_RATIO: f64 = 1.5;

/// Limit of the time until the p99 has recovered, in seconds.
const MAX_RECOVERY_SECONDS: f64 = 5.0;

/// Runs the `silent` benchmark, which silences the open connections of every second upstream.
pub(crate) fn run(seed: u64) -> Result<Report> {
    let fleet = start_warmed_up(with_unlimited_workspaces(collective_fleet(20)))?;
    let mut streams = workspace_streams(KEYLESS_SERVICE, REQUESTS_PER_SECOND);
    let mut keyed = workspace_streams(KEYED_SERVICE, REQUESTS_PER_SECOND);
    for stream in &mut keyed {
        "POST".clone_into(&mut stream.method);
    }
    streams.extend(keyed);
    let load = spawn_load(load_plan(&fleet, seed, LOAD_DURATION, streams));
    sleep(LOAD_BEFORE_SILENCE);
    let silenced_us = monotonic_us();
    let faults = UpstreamFaults {
        silence_connections: true,
        ..UpstreamFaults::default()
    };
    for vm in fleet.vms().iter().step_by(2) {
        fleet.set_upstream_faults(vm, &faults)?;
    }
    let report = join_load(load)?;
    let violations = fleet.trace(&report)?.check();
    let lost_or_duplicated = violations.iter().filter(|violation| {
        matches!(
            violation,
            Violation::FalseNotRun { .. }
                | Violation::LostRequest { .. }
                | Violation::DuplicateExecution { .. }
        )
    });
    let before_ms = p99_ms(&filter_observations(&report, |observation| {
        observation.due_us < silenced_us
    }))?;
    let summary = report.summary();
    let unacknowledged = summary.sent - summary.acknowledged;
    let figures = vec![
        Figure::new(
            "requests lost or doubled",
            "1",
            lost_or_duplicated.count() as f64,
        )
        .at_most(0.0),
        Figure::new(
            "requests refused or without an answer",
            "1",
            unacknowledged as f64,
        ),
        Figure::new("p99 before", "ms", before_ms),
        Figure::new(
            "time until p99 is back",
            "s",
            measure_recovery_seconds(&report, silenced_us, before_ms)?,
        )
        .at_most(MAX_RECOVERY_SECONDS),
    ];
    Ok(Report::new("silent", seed, figures))
}

/// Returns the end of the last slice whose p99 has not recovered, in seconds after the connections were
/// silenced.
fn measure_recovery_seconds(report: &LoadReport, silenced_us: u64, before_ms: f64) -> Result<f64> {
    let mut recovery_seconds = 0.0;
    for slice in 0..SLICE_COUNT {
        let start = silenced_us + slice * SLICE_US;
        let own = filter_observations(report, |observation| {
            (start..start + SLICE_US).contains(&observation.due_us)
        });
        if p99_ms(&own)? > RECOVERED_P99_RATIO * before_ms {
            recovery_seconds = (slice + 1) as f64;
        }
    }
    Ok(recovery_seconds)
}
