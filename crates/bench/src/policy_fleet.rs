//! Fleets and loads of the benchmarks of policy.

use std::io;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use standin::Fleet;
use standin::FleetBuilder;
use standin::LoadPlan;
use standin::LoadReport;
use standin::Observation;
use standin::RequestStream;
use standin::ServiceKind;
use standin::UpstreamOptions;
use standin::WorkspacePlan;

use crate::figure::Figure;

/// The service without keys.
pub(crate) const KEYLESS_SERVICE: &str = "workshop";

/// The service with keys.
pub(crate) const KEYED_SERVICE: &str = "ordering";

/// Workspaces with their part of a load, in percent: a few are large.
pub(crate) const WORKSPACES: [(&str, f64); 8] = [
    ("large-1", 40.0),
    ("large-2", 25.0),
    ("middle-1", 12.0),
    ("middle-2", 10.0),
    ("small-1", 5.0),
    ("small-2", 4.0),
    ("small-3", 2.0),
    ("small-4", 2.0),
];

/// Keys that requests ask for.
const KEY_COUNT: u32 = 1_000;

/// Rate of the load that warms homes up, in requests a second and service.
const WARM_UP_REQUESTS_PER_SECOND: f64 = 100.0;

/// Time of the load that warms homes up.
const WARM_UP_DURATION: Duration = Duration::from_secs(3);

/// Time that a fleet has to start.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Which side of a comparison a fleet is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Side {
    Baseline,
    Product,
}

/// Describes the Collective: 5 upstreams without keys, 6 with keys, three availability zones, 10 slots.
pub(crate) fn collective_fleet(work_ms: u64) -> FleetBuilder {
    Fleet::builder()
        .zone("a", 2)
        .zone("b", 2)
        .zone("c", 2)
        .vms_of("c", KEYLESS_SERVICE, 1)
        .service(KEYED_SERVICE, ServiceKind::Keyed { shards: 256 })
        .service(KEYLESS_SERVICE, ServiceKind::Unkeyed)
        .upstreams(UpstreamOptions {
            work_ms,
            ..UpstreamOptions::default()
        })
        .log_level("warn")
}

/// Describes the Partnership: 4 servers in each of four availability zones, 12 slots, 80 connections.
pub(crate) fn partnership_fleet(work_ms: u64) -> FleetBuilder {
    let zones = ["a", "b", "c", "d"];
    let fleet = Fleet::builder()
        .service(KEYED_SERVICE, ServiceKind::Keyed { shards: 256 })
        .service(KEYLESS_SERVICE, ServiceKind::Unkeyed)
        .upstreams(UpstreamOptions {
            connections: 80,
            slots: 12,
            work_ms,
            ..UpstreamOptions::default()
        })
        .log_level("warn");
    zones
        .into_iter()
        .fold(fleet, |fleet, zone| fleet.zone(zone, 2))
}

/// Adds all workspaces, which their rates do not hold back.
pub(crate) fn with_unlimited_workspaces(fleet: FleetBuilder) -> FleetBuilder {
    WORKSPACES.iter().fold(fleet, |fleet, (name, _)| {
        fleet.workspace(WorkspacePlan::new(name))
    })
}

/// Starts a fleet, and lets its homes find out what their upstreams bear.
pub(crate) fn start_warmed_up(builder: FleetBuilder) -> Result<Fleet> {
    let fleet = builder.start()?;
    fleet.wait_until_ready(START_TIMEOUT)?;
    let mut plan = LoadPlan::new(fleet.entries(), WARM_UP_DURATION);
    let workspace = fleet
        .workspaces()
        .first()
        .context("a fleet has workspaces")?;
    plan.streams = vec![
        idempotent_stream(&workspace.name, KEYED_SERVICE, WARM_UP_REQUESTS_PER_SECOND),
        idempotent_stream(
            &workspace.name,
            KEYLESS_SERVICE,
            WARM_UP_REQUESTS_PER_SECOND,
        ),
    ];
    plan.run()?;
    Ok(fleet)
}

/// Returns a stream of requests that may run twice.
pub(crate) fn idempotent_stream(workspace: &str, service: &str, rate: f64) -> RequestStream {
    RequestStream {
        keys: if service == KEYED_SERVICE {
            KEY_COUNT
        } else {
            0
        },
        ..WorkspacePlan::new(workspace).stream(service, "GET", rate)
    }
}

/// Returns streams of all workspaces to a service, with `rate` requests a second together.
pub(crate) fn workspace_streams(service: &str, rate: f64) -> Vec<RequestStream> {
    let of =
        |(name, percent): &(&str, f64)| idempotent_stream(name, service, rate * percent / 100.0);
    WORKSPACES.iter().map(of).collect()
}

/// Returns a load on all entries.
pub(crate) fn load_plan(
    fleet: &Fleet,
    seed: u64,
    duration: Duration,
    streams: Vec<RequestStream>,
) -> LoadPlan {
    let mut plan = LoadPlan::new(fleet.entries(), duration);
    plan.seed = seed;
    plan.streams = streams;
    plan
}

/// Sends a load beside the calling thread.
pub(crate) fn spawn_load(plan: LoadPlan) -> JoinHandle<io::Result<LoadReport>> {
    thread::spawn(move || plan.run())
}

/// Waits for a load that is sent beside the calling thread.
pub(crate) fn join_load(load: JoinHandle<io::Result<LoadReport>>) -> Result<LoadReport> {
    let report = load.join();
    Ok(report.map_err(|_| anyhow::anyhow!("the load panicked"))??)
}

/// Returns the observations that `is_meant` selects.
pub(crate) fn filter_observations(
    report: &LoadReport,
    predicate: impl Fn(&Observation) -> bool,
) -> LoadReport {
    let observations = report.observations.iter().filter(|one| predicate(one));
    LoadReport {
        observations: observations.cloned().collect(),
    }
}

/// Returns the p99 latency of acknowledged requests, in milliseconds.
pub(crate) fn p99_ms(report: &LoadReport) -> Result<f64> {
    let latencies = report.summary().latency_ms;
    let p99 = latencies.get("p99").copied();
    p99.context("no request was answered")
}

/// Returns how many requests were refused or not answered, by reason.
pub(crate) fn failure_figures(report: &LoadReport, name: &str) -> Vec<Figure> {
    let summary = report.summary();
    let figure = |(reason, count): (&String, &u64)| {
        Figure::new(format!("{name}, {reason}"), "1", *count as f64)
    };
    let mut figures: Vec<_> = summary.refused.iter().map(figure).collect();
    let silent = Figure::new(format!("{name}, no answer"), "1", summary.unanswered as f64);
    figures.push(silent);
    figures
}
