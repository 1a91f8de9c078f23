//! Latency and CPU time that entry and home add to a request.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use standin::Fleet;
use standin::LoadPlan;
use standin::LoadReport;
use standin::RequestStream;
use standin::ServiceKind;
use standin::UpstreamOptions;
use standin::WorkspacePlan;

use crate::figure::Figure;
use crate::report::Report;
use crate::usage::Usage;

/// Request rates, in requests per second over the whole fleet.
const RATES: [f64; 5] = [500.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0];

/// Duration of the load at each rate.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(5);

/// Time limit for the fleet to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Execution time of a request at the upstream, in milliseconds.
const WORK_MS: u64 = 2;

/// Requests that each upstream executes concurrently.
const SLOTS: u32 = 64;

/// VMs in the fleet.
const VM_COUNT: f64 = 2.0;

/// Number of different keys in the requests.
const KEY_COUNT: u32 = 1_000;

/// Fraction of the requests that must be acknowledged for a rate to count as sustained.
const MIN_ACKNOWLEDGED_RATIO: f64 = 0.99;

/// Limit of the latency added at p99 at half of the saturation rate, in milliseconds.
const MAX_ADDED_P99_MS: f64 = 2.0;

/// Requests per second through each node in the largest supported fleet.
const REQUESTS_PER_SECOND_PER_NODE: f64 = 2_300.0;

/// Measurements at one rate, through the fleet and directly at the upstreams.
struct Step {
    added_p50_ms: f64,
    added_p99_ms: f64,
    is_sustained: bool,
    direct_p99_ms: f64,
    cpu_us_per_request: f64,
    rate: f64,
    routed_p99_ms: f64,
}

/// Runs the `hop` benchmark, which compares requests through the fleet with direct calls of the upstreams.
pub(crate) fn run(seed: u64) -> Result<Report> {
    let fleet = start()?;
    let steps = RATES
        .iter()
        .map(|rate| measure_step(&fleet, seed, *rate))
        .collect::<Result<Vec<_>>>()?;
    let saturation = steps
        .iter()
        .filter(|step| step.is_sustained)
        .map(|step| step.rate)
        .fold(0.0, f64::max);
    let mut figures: Vec<_> = steps.iter().flat_map(step_figures).collect();
    figures.push(Figure::new("highest rate borne", "requests/s", saturation));
    let half_saturation = steps
        .iter()
        .rfind(|step| step.rate <= saturation / 2.0)
        .context("the lowest rate is more than half of the saturation rate")?;
    let added = Figure::new(
        "latency added at p99, half of saturation",
        "ms",
        half_saturation.added_p99_ms,
    );
    figures.push(added.at_most(MAX_ADDED_P99_MS));
    let cores = half_saturation.cpu_us_per_request * REQUESTS_PER_SECOND_PER_NODE / 1_000_000.0;
    let cores = Figure::new("cores for 2,300 requests/s and node", "cores", cores);
    figures.push(cores.at_most(1.0));
    Ok(Report::new("hop", seed, figures))
}

fn start() -> Result<Fleet> {
    let fleet = Fleet::builder()
        .zone("a", 1)
        .zone("b", 1)
        .service("ordering", ServiceKind::Keyed { shards: 256 })
        .workspace(WorkspacePlan::new("collective"))
        .upstreams(UpstreamOptions {
            checks_orders: false,
            connections: 1_000,
            slots: SLOTS,
            work_ms: WORK_MS,
            ..UpstreamOptions::default()
        })
        .limit("traffic_threads", 2)
        .limit("caller_connections", 5_000)
        .log_level("warn")
        .start()?;
    fleet.wait_until_ready(START_TIMEOUT)?;
    warm_up(&fleet)?;
    Ok(fleet)
}

/// Sends load until the limiters of the homes have grown to the capacity of their upstreams.
fn warm_up(fleet: &Fleet) -> Result<()> {
    let plan = LoadPlan::new(fleet.entries(), Duration::from_secs(6)).with_stream(stream(2_000.0));
    plan.run()?;
    Ok(())
}

fn measure_step(fleet: &Fleet, seed: u64, rate: f64) -> Result<Step> {
    let upstreams = fleet
        .vms()
        .into_iter()
        .map(|vm| Ok(fleet.addresses(&vm)?.upstream));
    let upstreams = upstreams.collect::<Result<Vec<_>>>()?;
    let direct = send(
        upstreams,
        seed,
        RequestStream {
            direct: true,
            ..stream(rate)
        },
    )?;
    let before = total_cpu_time(fleet)?;
    let routed = send(fleet.entries(), seed, stream(rate))?;
    let used = total_cpu_time(fleet)?.saturating_sub(before);
    let summary = routed.summary();
    let acknowledged = summary.acknowledged as f64;
    let latency_ms = |report: &LoadReport, name: &str| {
        let latencies = report.summary().latency_ms;
        latencies
            .get(name)
            .copied()
            .context("no request was acknowledged")
    };
    Ok(Step {
        added_p50_ms: latency_ms(&routed, "p50")? - latency_ms(&direct, "p50")?,
        added_p99_ms: latency_ms(&routed, "p99")? - latency_ms(&direct, "p99")?,
        is_sustained: acknowledged >= MIN_ACKNOWLEDGED_RATIO * summary.sent as f64,
        direct_p99_ms: latency_ms(&direct, "p99")?,
        cpu_us_per_request: used.as_secs_f64() * 1_000_000.0 / acknowledged,
        rate,
        routed_p99_ms: latency_ms(&routed, "p99")?,
    })
}

fn send(entries: Vec<SocketAddr>, seed: u64, stream: RequestStream) -> Result<LoadReport> {
    let mut plan = LoadPlan::new(entries, MEASUREMENT_DURATION).with_stream(stream);
    plan.seed = seed;
    Ok(plan.run()?)
}

fn stream(rate: f64) -> RequestStream {
    RequestStream {
        keys: KEY_COUNT,
        rate,
        service: "ordering".to_owned(),
        tenant_key: Some("key-collective".to_owned()),
        workspace: Some("collective".to_owned()),
        ..RequestStream::default()
    }
}

/// Returns the total CPU time that all daemons have used.
fn total_cpu_time(fleet: &Fleet) -> Result<Duration> {
    let mut total = Duration::ZERO;
    for vm in fleet.vms() {
        let process = fleet.with_daemon(&vm, |daemon| Ok(daemon.id()))?;
        total += Usage::of(process)?.cpu_time;
    }
    Ok(total)
}

fn step_figures(step: &Step) -> Vec<Figure> {
    let name = |what: &str| format!("{what} at {} requests/s and node", step.rate / VM_COUNT);
    vec![
        Figure::new(name("p99 latency"), "ms", step.routed_p99_ms)
            .with_baseline(step.direct_p99_ms),
        Figure::new(name("latency added at p50"), "ms", step.added_p50_ms),
        Figure::new(name("latency added at p99"), "ms", step.added_p99_ms),
        Figure::new(
            name("processor time of a request"),
            "us",
            step.cpu_us_per_request,
        ),
    ]
}
