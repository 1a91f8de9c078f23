//! Cost of the control plane on each node, by fleet size.

use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use cluster::Body;
use config::KeyHash;
use standin::Fleet;
use standin::ServiceKind;
use standin::WorkspacePlan;

use crate::figure::Figure;
use crate::linear_fit::fit_line;
use crate::report::Report;
use crate::usage::Usage;

/// Measured fleet sizes, in daemons.
const SIZES: [u32; 5] = [5, 10, 20, 40, 80];

/// Largest fleet size that the design must support, in daemons.
const TARGET_SIZE: f64 = 530.0;

/// Duration of each measurement.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(8);

/// Time between two configuration changes during churn, which gives 100 times the required rate of 1,000
/// changes a day.
const CHURN_INTERVAL: Duration = Duration::from_millis(864);

/// Time limit for a fleet to become ready, and then to settle.
const START_TIMEOUT: Duration = Duration::from_secs(120);

/// Time without a new record in the log after which a fleet counts as settled.
const SETTLED_INTERVAL: Duration = Duration::from_secs(4);

/// Limit of the CPU time for control, in percent of a core.
const MAX_CPU_PERCENT: f64 = 4.2;

/// Limit of the memory for control, in bytes.
const MAX_MEMORY_BYTES: f64 = 128.0 * 1024.0 * 1024.0;

/// Limit of the control traffic, in bytes per second.
const MAX_TRAFFIC_BYTES_PER_SECOND: f64 = 4.0 * 1024.0;

/// Mean resource usage of a node.
#[derive(Clone, Copy, Debug)]
struct NodeCost {
    bytes_per_second: f64,
    memory_bytes: f64,
    cpu_percent: f64,
}

/// Runs the `control` benchmark.
pub(crate) fn run(seed: u64) -> Result<Report> {
    let mut figures = Vec::new();
    let mut idle = Vec::new();
    let mut churn = Vec::new();
    for size in SIZES {
        let fleet = start(size)?;
        let idle_cost = measure(&fleet, None)?;
        let churn_cost = measure(&fleet, Some(CHURN_INTERVAL))?;
        figures.extend(size_figures(size, "idle", idle_cost));
        figures.extend(size_figures(size, "churn", churn_cost));
        idle.push((f64::from(size), idle_cost));
        churn.push((f64::from(size), churn_cost));
    }
    figures.extend(extrapolate("idle", &idle));
    figures.extend(extrapolate("churn", &churn));
    Ok(Report::new("control", seed, figures))
}

fn start(size: u32) -> Result<Fleet> {
    let zones = ["a", "b", "c", "d", "e"];
    let mut builder = Fleet::builder()
        .service("ordering", ServiceKind::Keyed { shards: 1_024 })
        .workspace(WorkspacePlan::new("collective"))
        .limit("traffic_threads", 1)
        .log_level("warn");
    for zone in zones {
        builder = builder.zone(zone, size / 5);
    }
    let fleet = builder.start()?;
    fleet.wait_until_ready(START_TIMEOUT)?;
    wait_until_settled(&fleet)?;
    Ok(fleet)
}

/// Waits until no record has been appended to the log for [`SETTLED_INTERVAL`].
fn wait_until_settled(fleet: &Fleet) -> Result<()> {
    let vm = fleet.vms().remove(0);
    let mut last_change = (0, Instant::now());
    let is_settled = || {
        let next = fleet
            .status(&vm)
            .map_or(0, |status| status["next"].as_u64().unwrap_or_default());
        if next != last_change.0 {
            last_change = (next, Instant::now());
        }
        last_change.1.elapsed() >= SETTLED_INTERVAL
    };
    fleet.wait_until("the log kept growing", START_TIMEOUT, is_settled)?;
    Ok(())
}

/// Measures the mean cost of a node, with a configuration change every `change_interval`, if given.
fn measure(fleet: &Fleet, change_interval: Option<Duration>) -> Result<NodeCost> {
    let before = totals(fleet)?;
    let started = Instant::now();
    match change_interval {
        Some(interval) => append_changes_until(fleet, interval, started + MEASUREMENT_DURATION)?,
        None => sleep(MEASUREMENT_DURATION),
    }
    let elapsed = started.elapsed().as_secs_f64();
    let after = totals(fleet)?;
    let nodes = fleet.vms().len() as f64;
    Ok(NodeCost {
        bytes_per_second: (after.bytes - before.bytes) / nodes / elapsed,
        memory_bytes: after.memory_bytes / nodes,
        cpu_percent: 100.0 * (after.cpu_seconds - before.cpu_seconds) / nodes / elapsed,
    })
}

fn append_changes_until(fleet: &Fleet, interval: Duration, end: Instant) -> Result<()> {
    let workspace = "collective".to_owned();
    let mut number = 0;
    while Instant::now() < end {
        let hash = KeyHash::of(&format!("churn-{number}"));
        let body = Body::IssueKey {
            workspace: workspace.clone(),
            hash,
        };
        fleet.log().append(body).map_err(anyhow::Error::msg)?;
        number += 1;
        sleep(interval);
    }
    Ok(())
}

struct Totals {
    bytes: f64,
    memory_bytes: f64,
    cpu_seconds: f64,
}

fn totals(fleet: &Fleet) -> Result<Totals> {
    let mut totals = Totals {
        bytes: 0.0,
        memory_bytes: 0.0,
        cpu_seconds: 0.0,
    };
    for vm in fleet.vms() {
        let process = fleet.with_daemon(&vm, |daemon| Ok(daemon.id()))?;
        let usage = Usage::of(process)?;
        let status = fleet.status(&vm)?;
        let traffic = &status["process"]["control_traffic"];
        for field in ["datagram_bytes", "log_bytes"] {
            totals.bytes += traffic[field]
                .as_f64()
                .context("the status has no control traffic")?;
        }
        totals.memory_bytes += usage.memory_bytes as f64;
        totals.cpu_seconds += usage.cpu_time.as_secs_f64();
    }
    Ok(totals)
}

fn size_figures(size: u32, state: &str, cost: NodeCost) -> Vec<Figure> {
    let name = |what: &str| format!("{what}, {size} daemons, {state}");
    vec![
        Figure::new(name("traffic"), "bytes/s", cost.bytes_per_second)
            .at_most(MAX_TRAFFIC_BYTES_PER_SECOND),
        Figure::new(name("processor"), "% of a core", cost.cpu_percent).at_most(MAX_CPU_PERCENT),
        Figure::new(name("memory"), "bytes", cost.memory_bytes).at_most(MAX_MEMORY_BYTES),
    ]
}

/// Extrapolates the measured costs linearly to the largest supported fleet size.
fn extrapolate(state: &str, costs: &[(f64, NodeCost)]) -> Vec<Figure> {
    let extrapolate_cost = |what: &str, unit, target, value: fn(&NodeCost) -> f64| {
        let points: Vec<_> = costs
            .iter()
            .map(|(size, cost)| (*size, value(cost)))
            .collect();
        let (base, slope) = fit_line(&points);
        let at_target = base + slope * TARGET_SIZE;
        [
            Figure::new(
                format!("{what}, slope for each daemon, {state}"),
                unit,
                slope,
            ),
            Figure::new(
                format!("{what}, extended to 530 daemons, {state}"),
                unit,
                at_target,
            )
            .at_most(target),
        ]
    };
    let traffic = extrapolate_cost("traffic", "bytes/s", MAX_TRAFFIC_BYTES_PER_SECOND, |cost| {
        cost.bytes_per_second
    });
    let processor = extrapolate_cost("processor", "% of a core", MAX_CPU_PERCENT, |cost| {
        cost.cpu_percent
    });
    let memory = extrapolate_cost("memory", "bytes", MAX_MEMORY_BYTES, |cost| {
        cost.memory_bytes
    });
    [traffic, processor, memory].concat()
}
