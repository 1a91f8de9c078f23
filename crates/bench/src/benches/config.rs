//! Time until configuration changes are in force on every node.

use std::thread::sleep;
use std::thread::spawn;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use anyhow::anyhow;
use cluster::Body;
use cluster::Document;
use config::KeyHash;
use standin::Fleet;
use standin::LoadPlan;
use standin::LoadReport;
use standin::RequestStream;
use standin::ServiceKind;
use standin::UpstreamOptions;
use standin::WorkspacePlan;
use standin::monotonic_us;

use crate::figure::Figure;
use crate::report::Report;

/// Number of measured changes of each kind.
const CHANGES_PER_KIND: usize = 4;

/// Requests per second through each node, with the tenant key that is withdrawn.
const REQUESTS_PER_SECOND_PER_NODE: f64 = 100.0;

/// Duration of the load before a key is withdrawn.
const LOAD_BEFORE_WITHDRAWAL: Duration = Duration::from_secs(2);

/// Duration of the load after a key is withdrawn.
const LOAD_AFTER_WITHDRAWAL: Duration = Duration::from_secs(6);

/// Time limit for the fleet to become ready, and for a change to be in force.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two polls of the version in force.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Limit of the time until a change is in force on every node, in milliseconds.
const MAX_TIME_UNTIL_IN_FORCE_MS: f64 = 4_000.0;

/// Name of the log as an endpoint of the simulated network.
const LOG_ENDPOINT: &str = "log";

/// Name of the workspace.
const WORKSPACE: &str = "collective";

/// Runs the `config` benchmark.
pub(crate) fn run(seed: u64) -> Result<Report> {
    let fleet = start()?;
    let disconnected_vm = fleet.vms().remove(0);
    let mut figures = Vec::new();
    for (state, is_disconnected) in [
        ("all nodes linked", false),
        ("one node cut from the log", true),
    ] {
        let mut withdrawals = Vec::new();
        let mut publications = Vec::new();
        for number in 0..CHANGES_PER_KIND {
            let key = format!("withdrawn-{is_disconnected}-{number}");
            let disconnected_vm = is_disconnected.then_some(disconnected_vm.as_str());
            withdrawals.push(measure_withdrawal_ms(&fleet, seed, &key, disconnected_vm)?);
            publications.push(measure_publication_ms(&fleet, disconnected_vm)?);
        }
        let longest = |times: Vec<f64>| times.into_iter().fold(0.0, f64::max);
        let name = |what: &str| format!("{what}, {state}, longest of {CHANGES_PER_KIND}");
        figures.push(
            Figure::new(
                name("time until a withdrawn key is refused by every node"),
                "ms",
                longest(withdrawals),
            )
            .at_most(MAX_TIME_UNTIL_IN_FORCE_MS),
        );
        figures.push(
            Figure::new(
                name("time until published plans are in force on every node"),
                "ms",
                longest(publications),
            )
            .at_most(MAX_TIME_UNTIL_IN_FORCE_MS),
        );
    }
    Ok(Report::new("config", seed, figures))
}

fn start() -> Result<Fleet> {
    let builder = Fleet::builder()
        .zone("a", 2)
        .zone("b", 2)
        .zone("c", 2)
        .service("ordering", ServiceKind::Keyed { shards: 64 })
        .workspace(WorkspacePlan::new(WORKSPACE))
        .log_level("warn")
        .with_network_faults()
        .upstreams(UpstreamOptions {
            work_ms: 1,
            ..UpstreamOptions::default()
        });
    let fleet = builder.start()?;
    fleet.wait_until_ready(TIMEOUT)?;
    Ok(fleet)
}

fn append(fleet: &Fleet, body: Body) -> Result<u64> {
    fleet.log().append(body).map_err(anyhow::Error::msg)
}

fn wait_for_version(fleet: &Fleet, field: &str, version: u64) -> Result<()> {
    let vms = fleet.vms();
    let is_in_force = |vm: &String| {
        let status = fleet.status(vm).unwrap_or_default();
        status[field].as_u64().unwrap_or_default() >= version
    };
    fleet.wait_until("a change is not in force", TIMEOUT, || {
        vms.iter().all(is_in_force)
    })?;
    Ok(())
}

/// Returns the time until every node refuses a tenant key that is withdrawn under load.
fn measure_withdrawal_ms(
    fleet: &Fleet,
    seed: u64,
    key: &str,
    disconnected_vm: Option<&str>,
) -> Result<f64> {
    let hash = KeyHash::of(key);
    let workspace = WORKSPACE.to_owned();
    let issued = append(
        fleet,
        Body::IssueKey {
            workspace,
            hash: hash.clone(),
        },
    )?;
    wait_for_version(fleet, "config_version", issued)?;
    let loads: Vec<_> = fleet
        .entries()
        .into_iter()
        .map(|entry| {
            let plan = load_plan(entry, seed, key);
            spawn(move || plan.run())
        })
        .collect();
    sleep(LOAD_BEFORE_WITHDRAWAL);
    if let Some(vm) = disconnected_vm {
        fleet.network().block_both_ways(vm, LOG_ENDPOINT);
    }
    let withdrawn_us = monotonic_us();
    append(fleet, Body::WithdrawKey { hash })?;
    let mut last_us = withdrawn_us;
    for load in loads {
        let load = load.join().map_err(|_| anyhow!("the load panicked"))??;
        last_us = last_us.max(last_acknowledged_us(&load)?);
    }
    fleet.network().heal();
    Ok((last_us - withdrawn_us) as f64 / 1_000.0)
}

fn load_plan(entry: std::net::SocketAddr, seed: u64, key: &str) -> LoadPlan {
    let mut plan = LoadPlan::new(vec![entry], LOAD_BEFORE_WITHDRAWAL + LOAD_AFTER_WITHDRAWAL);
    plan.seed = seed;
    plan.with_stream(RequestStream {
        keys: 30,
        rate: REQUESTS_PER_SECOND_PER_NODE,
        service: "ordering".to_owned(),
        tenant_key: Some(key.to_owned()),
        workspace: Some(WORKSPACE.to_owned()),
        ..RequestStream::default()
    })
}

/// Returns the time at which the last acknowledged request was sent.
///
/// # Errors
///
/// Returns an error when no request was acknowledged, or when the last request was not refused for its withdrawn key.
fn last_acknowledged_us(load: &LoadReport) -> Result<u64> {
    let is_acknowledged = |observation: &&standin::Observation| observation.is_acknowledged();
    let last_acknowledged = load.observations.iter().rev().find(is_acknowledged);
    let last = load.observations.last();
    let is_refused = last.is_some_and(|last| last.reason.as_deref() == Some("key-withdrawn"));
    anyhow::ensure!(
        is_refused,
        "a node did not refuse the withdrawn key by the end of the load"
    );
    last_acknowledged
        .map(|observation| observation.sent_us)
        .ok_or_else(|| anyhow!("a node acknowledged no request with the key"))
}

/// Returns the time until newly published plans are in force on every node.
fn measure_publication_ms(fleet: &Fleet, disconnected_vm: Option<&str>) -> Result<f64> {
    let mut folded_fleet = cluster::Fleet::default();
    loop {
        let records = fleet
            .log()
            .read(folded_fleet.next_offset().max(1))
            .map_err(anyhow::Error::msg)?;
        if records.is_empty() {
            break;
        }
        for (offset, body) in records {
            folded_fleet.apply(offset, body.as_bytes());
        }
    }
    let mut plans = folded_fleet.plans().clone();
    for plan in plans.plans.values_mut() {
        plan.burst_requests += 1;
    }
    if let Some(vm) = disconnected_vm {
        fleet.network().block_both_ways(vm, LOG_ENDPOINT);
    }
    let started = Instant::now();
    let version = append(
        fleet,
        Body::Publish {
            base: folded_fleet.plans_version(),
            document: Document::Plans(plans),
        },
    )?;
    let vms = fleet.vms();
    while !vms.iter().all(|vm| plans_version(fleet, vm) >= version) {
        anyhow::ensure!(
            started.elapsed() < TIMEOUT,
            "timed out waiting for the published plans to be in force on every node"
        );
        sleep(POLL_INTERVAL);
    }
    let elapsed = started.elapsed();
    fleet.network().heal();
    Ok(elapsed.as_secs_f64() * 1_000.0)
}

fn plans_version(fleet: &Fleet, vm: &str) -> u64 {
    let status = fleet.status(vm).unwrap_or_default();
    status["plans_version"].as_u64().unwrap_or_default()
}
