//! How long keys are unavailable after losses and planned stops, and while the log is down.

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
use crate::owner::Owner;
use crate::report::Report;
use crate::unavailable::percentile;
use crate::unavailable::unavailable_ms;

/// Keys that load asks for.
const KEYS: u32 = 30;

/// Requests a second, over all keys.
const RATE: f64 = 900.0;

/// Time that requests take at the upstream, in milliseconds.
const WORK_MS: u64 = 5;

/// Load before each event.
const BEFORE: Duration = Duration::from_secs(2);

/// Load after each event.
const AFTER: Duration = Duration::from_secs(8);

/// Time that a fleet has to start.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest unavailable time after a loss, in milliseconds.
const LOSS_TARGET_MS: f64 = 4_000.0;

/// Longest unavailable time after a planned stop at p99, in milliseconds.
const STOP_TARGET_MS: f64 = 100.0;

/// VMs that are lost, one after another.
const LOST: [&str; 3] = ["ordering-a-1", "ordering-b-2", "ordering-c-1"];

/// Availability zones that are lost, one after another.
const LOST_ZONES: [&str; 2] = ["a", "c"];

/// What callers saw of an event.
struct Seen {
    refused: u64,
    unavailable_ms: Vec<f64>,
}

/// Measures unavailable times.
pub(crate) fn run(seed: u64) -> Result<Report> {
    let fleet = start()?;
    let mut figures = Vec::new();
    let kills = LOST.map(|vm| measure(&fleet, seed, &[vm.to_owned()], Fleet::kill));
    let kills = gather(kills)?;
    figures.extend(loss_figures("kill of a VM", &kills));
    let zones = LOST_ZONES.map(|zone| measure(&fleet, seed, &fleet.vms_in(zone), Fleet::kill));
    let zones = gather(zones)?;
    figures.extend(loss_figures("loss of a zone", &zones));
    let stops = fleet.vms();
    let stops = stops
        .iter()
        .map(|vm| measure(&fleet, seed, std::slice::from_ref(vm), Fleet::terminate));
    figures.extend(stop_figures(&gather(stops)?));
    figures.extend(log_figures(&without_log(&fleet, seed)?));
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

/// Applies a fault to VMs, measures through the others, and starts the VMs again.
fn measure(
    fleet: &Fleet,
    seed: u64,
    victims: &[String],
    fault: fn(&Fleet, &str) -> Result<(), standin::FleetError>,
) -> Result<Seen> {
    let mut survivors = fleet.vms();
    survivors.retain(|vm| !victims.contains(vm));
    let mut keys = BTreeSet::new();
    for index in 0..KEYS {
        let key = format!("key-{index}");
        let owner = Owner::of(fleet, &survivors[0], "ordering", &key)?;
        if owner
            .vm()
            .is_some_and(|vm| victims.iter().any(|victim| victim == vm))
        {
            keys.insert(key);
        }
    }
    let seen = under_load(fleet, seed, &survivors, &keys, || {
        for vm in victims {
            fault(fleet, vm)?;
        }
        Ok(())
    })?;
    for vm in victims {
        fleet.restart(vm)?;
    }
    fleet.wait_until_ready(START_TIMEOUT)?;
    wait_until_spread(fleet)?;
    Ok(seen)
}

/// Waits until every VM owns keys again.
fn wait_until_spread(fleet: &Fleet) -> Result<()> {
    let vms = fleet.vms();
    let is_spread = || {
        let status = fleet.status(&vms[0]).unwrap_or_default();
        let members = status["members"].as_array().map_or(&[][..], Vec::as_slice);
        let owns = |member: &&serde_json::Value| member["units"].as_u64() > Some(0);
        members.iter().filter(owns).count() == vms.len()
    };
    fleet.wait_until("a VM owns nothing", START_TIMEOUT, is_spread)?;
    Ok(())
}

fn without_log(fleet: &Fleet, seed: u64) -> Result<Seen> {
    let keys = (0..KEYS).map(|index| format!("key-{index}")).collect();
    let down = LogFaults {
        down: true,
        ..LogFaults::default()
    };
    let seen = under_load(fleet, seed, &fleet.vms(), &keys, || {
        fleet.log().set_faults(&down).map_err(anyhow::Error::msg)
    });
    fleet
        .log()
        .set_faults(&LogFaults::default())
        .map_err(anyhow::Error::msg)?;
    seen
}

/// Sends load through VMs, and returns what became of `keys` from the time of the fault on.
fn under_load(
    fleet: &Fleet,
    seed: u64,
    entries: &[String],
    keys: &BTreeSet<String>,
    fault: impl FnOnce() -> Result<()>,
) -> Result<Seen> {
    let addresses = entries
        .iter()
        .map(|vm| Ok(fleet.addresses(vm)?.caller))
        .collect::<Result<Vec<SocketAddr>>>()?;
    let mut plan = LoadPlan::new(addresses, BEFORE + AFTER);
    plan.seed = seed;
    let stream = fleet.workspaces()[0].stream("ordering", "GET", RATE);
    let plan = plan.with_stream(RequestStream {
        keys: KEYS,
        ..stream
    });
    let load = spawn(move || plan.run());
    sleep(BEFORE);
    let from_us = monotonic_us();
    fault()?;
    let load = load.join().map_err(|_| anyhow!("the load panicked"))??;
    let until_us = monotonic_us();
    let is_refused = |observation: &&Observation| {
        observation.due_us >= from_us && !observation.is_acknowledged()
    };
    let unavailable = unavailable_ms(&load.observations, keys, from_us, until_us);
    Ok(Seen {
        refused: load.observations.iter().filter(is_refused).count() as u64,
        unavailable_ms: unavailable.into_values().collect(),
    })
}

fn gather(seen: impl IntoIterator<Item = Result<Seen>>) -> Result<Seen> {
    let mut gathered = Seen {
        refused: 0,
        unavailable_ms: Vec::new(),
    };
    for seen in seen {
        let seen = seen?;
        gathered.refused += seen.refused;
        gathered.unavailable_ms.extend(seen.unavailable_ms);
    }
    anyhow::ensure!(
        !gathered.unavailable_ms.is_empty(),
        "no key was affected: ask for more keys"
    );
    Ok(gathered)
}

fn figures_of(event: &str, seen: &Seen) -> Vec<Figure> {
    let name = |what: &str| format!("unavailable time of a key, {event}, {what}");
    let times = &seen.unavailable_ms;
    vec![
        Figure::new(
            format!("keys affected, {event}"),
            "keys",
            times.len() as f64,
        ),
        Figure::new(
            format!("requests not answered, {event}"),
            "requests",
            seen.refused as f64,
        ),
        Figure::new(name("p50"), "ms", percentile(times, 0.5)),
    ]
}

fn loss_figures(event: &str, seen: &Seen) -> Vec<Figure> {
    let mut figures = figures_of(event, seen);
    let name = format!("unavailable time of a key, {event}, longest");
    figures.push(
        Figure::new(name, "ms", percentile(&seen.unavailable_ms, 1.0)).at_most(LOSS_TARGET_MS),
    );
    figures
}

fn stop_figures(seen: &Seen) -> Vec<Figure> {
    let event = "graceful stop";
    let mut figures = figures_of(event, seen);
    let name = |what: &str| format!("unavailable time of a key, {event}, {what}");
    let times = &seen.unavailable_ms;
    figures.push(Figure::new(name("p99"), "ms", percentile(times, 0.99)).at_most(STOP_TARGET_MS));
    figures.push(Figure::new(name("longest"), "ms", percentile(times, 1.0)));
    figures
}

fn log_figures(seen: &Seen) -> Vec<Figure> {
    let refused = Figure::new(
        "requests not answered, log down and owners alive",
        "requests",
        seen.refused as f64,
    );
    let longest = Figure::new(
        "longest latency of any key, log down and owners alive",
        "ms",
        percentile(&seen.unavailable_ms, 1.0),
    );
    vec![refused.at_most(0.0), longest]
}
