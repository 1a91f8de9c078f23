//! Fleets and loads shared by the benchmarks of the routing policies.

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

/// Name of the service without keys.
pub(crate) const KEYLESS_SERVICE: &str = "workshop";

/// Name of the service with keys.
pub(crate) const KEYED_SERVICE: &str = "ordering";

/// Workspaces and their shares of the load, in percent. A few workspaces send most of the requests.
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

/// Number of different keys in the requests of a stream.
const KEY_COUNT: u32 = 1_000;

/// Rate of the warm-up load, in requests per second to each service.
const WARM_UP_REQUESTS_PER_SECOND: f64 = 100.0;

/// Duration of the warm-up load.
const WARM_UP_DURATION: Duration = Duration::from_secs(3);

/// Time limit for a fleet to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Side of a comparison that a fleet runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Side {
    /// The fleet uses the simpler policies that the product is compared with.
    Baseline,
    /// The fleet uses the default policies of the product.
    Product,
}

/// Returns a builder of the fleet named Collective: 5 upstreams without keys and 6 with keys, of 10 slots each, in three
/// availability zones.
pub(crate) fn collective_fleet(work_ms: u64) -> FleetBuilder {
    Fleet::builder()
        .zone("a", 2)
        .zone("b", 2)
        .zone("c", 2)
        .vm_count("c", KEYLESS_SERVICE, 1)
        .service(KEYED_SERVICE, ServiceKind::Keyed { shards: 256 })
        .service(KEYLESS_SERVICE, ServiceKind::Keyless)
        .upstreams(UpstreamOptions {
            work_ms,
            ..UpstreamOptions::default()
        })
        .log_level("warn")
}

/// Returns a builder of the fleet named Partnership: 4 upstreams in each of four availability zones, with 12 slots and
/// 80 connections each.
pub(crate) fn partnership_fleet(work_ms: u64) -> FleetBuilder {
    let zones = ["a", "b", "c", "d"];
    let fleet = Fleet::builder()
        .service(KEYED_SERVICE, ServiceKind::Keyed { shards: 256 })
        .service(KEYLESS_SERVICE, ServiceKind::Keyless)
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

/// Adds all workspaces, without rate limits.
pub(crate) fn with_unlimited_workspaces(fleet: FleetBuilder) -> FleetBuilder {
    WORKSPACES.iter().fold(fleet, |fleet, (name, _)| {
        fleet.workspace(WorkspacePlan::new(name))
    })
}

/// Starts a fleet and sends the warm-up load, under which the limiters of the homes adapt to the capacity of their
/// upstreams.
pub(crate) fn start_warmed_up(builder: FleetBuilder) -> Result<Fleet> {
    let fleet = builder.start()?;
    fleet.wait_until_ready(START_TIMEOUT)?;
    let mut plan = LoadPlan::new(fleet.entries(), WARM_UP_DURATION);
    let workspace = fleet
        .workspaces()
        .first()
        .context("the fleet has no workspaces")?;
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

/// Returns a stream of GET requests, which may be executed more than once.
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

/// Returns one stream to a service for each workspace, with `rate` requests per second in total.
pub(crate) fn workspace_streams(service: &str, rate: f64) -> Vec<RequestStream> {
    let stream =
        |(name, percent): &(&str, f64)| idempotent_stream(name, service, rate * percent / 100.0);
    WORKSPACES.iter().map(stream).collect()
}

/// Returns a plan that sends `streams` through all entries of the fleet.
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

/// Sends a load on a new thread.
pub(crate) fn spawn_load(plan: LoadPlan) -> JoinHandle<io::Result<LoadReport>> {
    thread::spawn(move || plan.run())
}

/// Waits for the thread of [`spawn_load`] and returns its report.
pub(crate) fn join_load(load: JoinHandle<io::Result<LoadReport>>) -> Result<LoadReport> {
    let report = load.join();
    Ok(report.map_err(|_| anyhow::anyhow!("the load panicked"))??)
}

/// Returns a report of only the observations that match `predicate`.
pub(crate) fn filter_observations(
    report: &LoadReport,
    predicate: impl Fn(&Observation) -> bool,
) -> LoadReport {
    let observations = report
        .observations
        .iter()
        .filter(|observation| predicate(observation));
    LoadReport {
        observations: observations.cloned().collect(),
    }
}

/// Returns the p99 latency of acknowledged requests, in milliseconds.
pub(crate) fn p99_ms(report: &LoadReport) -> Result<f64> {
    let latencies = report.summary().latency_ms;
    let p99 = latencies.get("p99").copied();
    p99.context("no request was acknowledged")
}

/// Returns the numbers of refused requests, by reason, and of unanswered requests.
pub(crate) fn failure_figures(report: &LoadReport, name: &str) -> Vec<Figure> {
    let summary = report.summary();
    let figure = |(reason, count): (&String, &u64)| {
        Figure::new(format!("{name}, {reason}"), "1", *count as f64)
    };
    let mut figures: Vec<_> = summary.refused.iter().map(figure).collect();
    let unanswered = Figure::new(format!("{name}, no answer"), "1", summary.unanswered as f64);
    figures.push(unanswered);
    figures
}
