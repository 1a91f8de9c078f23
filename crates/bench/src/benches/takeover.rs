//! Unavailable times of keys after losses and graceful stops of VMs, and while the log is down.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread::sleep;
use std::thread::spawn;
use std::time::Duration;

use anyhow::Result;
use anyhow::anyhow;
use standin::Fleet;
use standin::LoadPlan;
use standin::LogFaults;
use standin::Observation;
use standin::RequestStream;
use standin::ServiceKind;
use standin::UpstreamOptions;
use standin::WorkspacePlan;
use standin::monotonic_us;

use crate::figure::Figure;
use crate::key_owner::KeyOwner;
use crate::report::Report;
use crate::unavailability::longest_unavailability_ms;
use crate::unavailability::percentile;

/// Number of different keys in the requests.
const KEY_COUNT: u32 = 30;

/// Requests per second over all keys.
const REQUESTS_PER_SECOND: f64 = 900.0;

/// Execution time of a request at the upstream, in milliseconds.
const WORK_MS: u64 = 5;

/// Duration of the load before each fault.
const LOAD_BEFORE_FAULT: Duration = Duration::from_secs(2);

/// Duration of the load after each fault.
const LOAD_AFTER_FAULT: Duration = Duration::from_secs(8);

/// Time limit for the fleet to become ready, and for every VM to own units.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Limit of the unavailable time of any key after a loss, in milliseconds.
const MAX_UNAVAILABLE_AFTER_LOSS_MS: f64 = 4_000.0;

/// Limit of the p99 unavailable time of keys after a graceful stop, in milliseconds.
const MAX_P99_UNAVAILABLE_AFTER_STOP_MS: f64 = 100.0;

/// VMs that are killed one after another.
const LOST_VMS: [&str; 3] = ["ordering-a-1", "ordering-b-2", "ordering-c-1"];

/// Availability zones whose VMs are all killed, one zone after another.
const LOST_ZONES: [&str; 2] = ["a", "c"];

/// Effect of a fault on callers.
struct Impact {
    /// Requests without an acknowledgement that were due after the fault.
    unacknowledged: u64,
    /// Longest unavailable time of each affected key.
    unavailable_ms: Vec<f64>,
}

/// Runs the `takeover` benchmark.
pub(crate) fn run(seed: u64) -> Result<Report> {
    let fleet = start()?;
    let mut figures = Vec::new();
    let kills = LOST_VMS.map(|vm| measure(&fleet, seed, &[vm.to_owned()], Fleet::kill));
    let kills = merge_impacts(kills)?;
    figures.extend(loss_figures("kill of a VM", &kills));
    let zones = LOST_ZONES.map(|zone| measure(&fleet, seed, &fleet.vms_in(zone), Fleet::kill));
    let zones = merge_impacts(zones)?;
    figures.extend(loss_figures("loss of a zone", &zones));
    let stops = fleet.vms();
    let stops = stops
        .iter()
        .map(|vm| measure(&fleet, seed, std::slice::from_ref(vm), Fleet::terminate));
    figures.extend(stop_figures(&merge_impacts(stops)?));
    figures.extend(log_figures(&measure_log_outage(&fleet, seed)?));
    Ok(Report::new("takeover", seed, figures))
}

fn start() -> Result<Fleet> {
    let builder = Fleet::builder()
        .zone("a", 2)
        .zone("b", 2)
        .zone("c", 2)
        .service("ordering", ServiceKind::Keyed { shards: 64 })
        .workspace(WorkspacePlan::new("collective"))
        .log_level("warn")
        .upstreams(UpstreamOptions {
            work_ms: WORK_MS,
            ..UpstreamOptions::default()
        });
    let fleet = builder.start()?;
    fleet.wait_until_ready(START_TIMEOUT)?;
    Ok(fleet)
}

/// Applies a fault to VMs, measures its impact on their keys through the other VMs, and restarts the VMs.
fn measure(
    fleet: &Fleet,
    seed: u64,
    affected_vms: &[String],
    fault: fn(&Fleet, &str) -> Result<(), standin::FleetError>,
) -> Result<Impact> {
    let mut remaining_vms = fleet.vms();
    remaining_vms.retain(|vm| !affected_vms.contains(vm));
    let mut keys = BTreeSet::new();
    for index in 0..KEY_COUNT {
        let key = format!("key-{index}");
        let owner = KeyOwner::fetch(fleet, &remaining_vms[0], "ordering", &key)?;
        if owner
            .vm()
            .is_some_and(|vm| affected_vms.iter().any(|affected| affected == vm))
        {
            keys.insert(key);
        }
    }
    let impact = measure_under_load(fleet, seed, &remaining_vms, &keys, || {
        for vm in affected_vms {
            fault(fleet, vm)?;
        }
        Ok(())
    })?;
    for vm in affected_vms {
        fleet.restart(vm)?;
    }
    fleet.wait_until_ready(START_TIMEOUT)?;
    wait_until_all_own_units(fleet)?;
    Ok(impact)
}

/// Waits until every VM owns units again.
fn wait_until_all_own_units(fleet: &Fleet) -> Result<()> {
    let vms = fleet.vms();
    let all_own_units = || {
        let status = fleet.status(&vms[0]).unwrap_or_default();
        let members = status["members"].as_array().map_or(&[][..], Vec::as_slice);
        let owns = |member: &&serde_json::Value| member["units"].as_u64() > Some(0);
        members.iter().filter(owns).count() == vms.len()
    };
    fleet.wait_until("a VM owns no units", START_TIMEOUT, all_own_units)?;
    Ok(())
}

fn measure_log_outage(fleet: &Fleet, seed: u64) -> Result<Impact> {
    let keys = (0..KEY_COUNT).map(|index| format!("key-{index}")).collect();
    let down = LogFaults {
        down: true,
        ..LogFaults::default()
    };
    let impact = measure_under_load(fleet, seed, &fleet.vms(), &keys, || {
        fleet.log().set_faults(&down).map_err(anyhow::Error::msg)
    });
    fleet
        .log()
        .set_faults(&LogFaults::default())
        .map_err(anyhow::Error::msg)?;
    impact
}

/// Sends load through VMs, applies a fault, and returns its impact on `keys` from then on.
fn measure_under_load(
    fleet: &Fleet,
    seed: u64,
    entries: &[String],
    keys: &BTreeSet<String>,
    fault: impl FnOnce() -> Result<()>,
) -> Result<Impact> {
    let addresses = entries
        .iter()
        .map(|vm| Ok(fleet.addresses(vm)?.caller))
        .collect::<Result<Vec<SocketAddr>>>()?;
    let mut plan = LoadPlan::new(addresses, LOAD_BEFORE_FAULT + LOAD_AFTER_FAULT);
    plan.seed = seed;
    let stream = fleet.workspaces()[0].stream("ordering", "GET", REQUESTS_PER_SECOND);
    let plan = plan.with_stream(RequestStream {
        keys: KEY_COUNT,
        ..stream
    });
    let load = spawn(move || plan.run());
    sleep(LOAD_BEFORE_FAULT);
    let from_us = monotonic_us();
    fault()?;
    let load = load.join().map_err(|_| anyhow!("the load panicked"))??;
    let until_us = monotonic_us();
    let is_unacknowledged = |observation: &&Observation| {
        observation.due_us >= from_us && !observation.is_acknowledged()
    };
    let unavailable = longest_unavailability_ms(&load.observations, keys, from_us, until_us);
    Ok(Impact {
        unacknowledged: load.observations.iter().filter(is_unacknowledged).count() as u64,
        unavailable_ms: unavailable.into_values().collect(),
    })
}

fn merge_impacts(impacts: impl IntoIterator<Item = Result<Impact>>) -> Result<Impact> {
    let mut merged = Impact {
        unacknowledged: 0,
        unavailable_ms: Vec::new(),
    };
    for impact in impacts {
        let impact = impact?;
        merged.unacknowledged += impact.unacknowledged;
        merged.unavailable_ms.extend(impact.unavailable_ms);
    }
    anyhow::ensure!(
        !merged.unavailable_ms.is_empty(),
        "no key was affected: increase KEY_COUNT"
    );
    Ok(merged)
}

fn common_figures(event: &str, impact: &Impact) -> Vec<Figure> {
    let name = |what: &str| format!("unavailable time of a key, {event}, {what}");
    let times = &impact.unavailable_ms;
    vec![
        Figure::new(
            format!("keys affected, {event}"),
            "keys",
            times.len() as f64,
        ),
        Figure::new(
            format!("requests not answered, {event}"),
            "requests",
            impact.unacknowledged as f64,
        ),
        Figure::new(name("p50"), "ms", percentile(times, 0.5)),
    ]
}

fn loss_figures(event: &str, impact: &Impact) -> Vec<Figure> {
    let mut figures = common_figures(event, impact);
    let name = format!("unavailable time of a key, {event}, longest");
    figures.push(
        Figure::new(name, "ms", percentile(&impact.unavailable_ms, 1.0))
            .at_most(MAX_UNAVAILABLE_AFTER_LOSS_MS),
    );
    figures
}

fn stop_figures(impact: &Impact) -> Vec<Figure> {
    let event = "graceful stop";
    let mut figures = common_figures(event, impact);
    let name = |what: &str| format!("unavailable time of a key, {event}, {what}");
    let times = &impact.unavailable_ms;
    figures.push(
        Figure::new(name("p99"), "ms", percentile(times, 0.99))
            .at_most(MAX_P99_UNAVAILABLE_AFTER_STOP_MS),
    );
    figures.push(Figure::new(name("longest"), "ms", percentile(times, 1.0)));
    figures
}

fn log_figures(impact: &Impact) -> Vec<Figure> {
    let unacknowledged = Figure::new(
        "requests not answered, log down and owners alive",
        "requests",
        impact.unacknowledged as f64,
    );
    let longest = Figure::new(
        "longest latency of any key, log down and owners alive",
        "ms",
        percentile(&impact.unavailable_ms, 1.0),
    );
    vec![unacknowledged.at_most(0.0), longest]
}
