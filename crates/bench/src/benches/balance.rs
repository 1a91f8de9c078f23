//! Imbalance and churn, by planners alone and with real processes.

use std::collections::BTreeMap;
use std::thread::spawn;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use anyhow::anyhow;
use cluster::Body;
use cluster::Record;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use standin::Fleet;
use standin::LoadPlan;
use standin::RequestStream;
use standin::ServiceKind;
use standin::UpstreamOptions;
use standin::WorkspacePlan;

use crate::figure::Figure;
use crate::owner::Owner;
use crate::placement::Loads;
use crate::placement::Placement;
use crate::placement::SERVICE;
use crate::placement::Settled;
use crate::placement::imbalance;
use crate::placement::pinned;
use crate::placement::shard;
use crate::placement::vm;
use crate::report::Report;

/// Members and shards of the fleets.
const SIZES: [(usize, u32); 3] = [(12, 1_024), (100, 8_192), (530, 16_384)];

/// Largest load of a member over the mean.
const IMBALANCE_TARGET: f64 = 1.25;

/// Units moved over the smallest number that evens out the load.
const CHURN_TARGET: f64 = 1.2;

/// Load of a hot key, relative to the fair share of a member.
const HOT_SHARES: f64 = 1.5;

/// Longest time until a hot key is alone on its owner, in seconds.
const ALONE_TARGET_S: f64 = 60.0;

/// Keys that load on real processes asks for. The first is the hot one.
const KEYS: u32 = 40;

/// Time that load on real processes lasts.
const LOAD: Duration = Duration::from_secs(100);

/// Time after which moves that go on count as unrest.
const UNREST_AFTER: Duration = Duration::from_secs(30);

/// Time that a fleet has to start.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Measures imbalance and churn.
pub(crate) fn run(seed: u64) -> Result<Report> {
    let mut figures = Vec::new();
    for (members, shards) in SIZES {
        figures.extend(join(members, shards, seed)?);
        figures.extend(loss(members, shards, seed)?);
        figures.extend(hot_key(members, shards, seed)?);
    }
    figures.extend(real_hot_key(seed)?);
    Ok(Report::new("balance", seed, figures))
}

/// Returns loads that differ by at most the factor 3.
fn loads(shards: u32, seed: u64) -> Loads {
    let mut rng = SmallRng::seed_from_u64(seed);
    (0..shards)
        .map(|index| (shard(index), rng.random_range(0.5..1.5)))
        .collect()
}

fn churn_figures(event: &str, members: usize, settled: Settled, least: f64) -> Vec<Figure> {
    let name = |what: &str| format!("{what}, {event}, {members} members");
    let churn = Figure::new(
        name("units moved over the least"),
        "1",
        settled.moved as f64 / least,
    );
    vec![
        churn.at_most(CHURN_TARGET),
        Figure::new(name("rounds of plans"), "rounds", settled.rounds as f64),
    ]
}

fn imbalance_figure(event: &str, members: usize, product: f64, plain: f64) -> Figure {
    let name = format!("largest load over the mean, {event}, {members} members");
    let figure = Figure::new(name, "1", product);
    figure.at_most(IMBALANCE_TARGET).baseline(plain)
}

fn join(members: usize, shards: u32, seed: u64) -> Result<Vec<Figure>> {
    let loads = loads(shards, seed);
    let mut placement = Placement::new(members, shards, &loads)?;
    placement.join(members)?;
    let settled = placement.settle(&loads)?;
    let least = f64::from(shards) / (members + 1) as f64;
    let mut figures = churn_figures("join", members, settled, least);
    let after = imbalance(placement.member_loads(&loads).values());
    let plain = imbalance(placement.plain_loads(&loads).values());
    figures.push(imbalance_figure("join", members, after, plain));
    Ok(figures)
}

fn loss(members: usize, shards: u32, seed: u64) -> Result<Vec<Figure>> {
    let loads = loads(shards, seed);
    let mut placement = Placement::new(members, shards, &loads)?;
    let lost = vm(1);
    let least = placement.fleet.units_of(&lost).count();
    placement.lose(&lost)?;
    let mut settled = placement.settle(&loads)?;
    settled.moved += least;
    let mut figures = churn_figures("loss", members, settled, least as f64);
    let after = imbalance(placement.member_loads(&loads).values());
    let plain = imbalance(placement.plain_loads(&loads).values());
    figures.push(imbalance_figure("loss", members, after, plain));
    Ok(figures)
}

/// Lets one key become hot, and then another in its place.
fn hot_key(members: usize, shards: u32, seed: u64) -> Result<Vec<Figure>> {
    let usual = loads(shards, seed);
    let mut placement = Placement::new(members, shards, &usual)?;
    let share = usual.values().sum::<f64>() / members as f64;
    let mut figures = Vec::new();
    for (event, key) in [("hot key appears", "first"), ("hot key changes", "second")] {
        figures.extend(heat(
            &mut placement,
            &usual,
            event,
            key,
            HOT_SHARES * share,
        )?);
    }
    Ok(figures)
}

fn heat(
    placement: &mut Placement,
    usual: &Loads,
    event: &str,
    key: &str,
    load: f64,
) -> Result<Vec<Figure>> {
    let members = placement.fleet.members().len();
    let service = SERVICE.to_owned();
    let unit = placement.fleet.unit_of(&service, key);
    let unit = unit.ok_or_else(|| anyhow!("there are shards"))?;
    let mut before = usual.clone();
    *before.entry(unit).or_default() += load;
    let plain = imbalance(placement.plain_loads(&before).values());
    let owner = placement.pin(key, load, &before)?;
    let mut loads = usual.clone();
    loads.insert(pinned(key), load);
    let least = placement.fleet.units_of(&owner).count() - 1;
    let settled = placement.settle(&loads)?;
    placement.unpin(&loads)?;
    let held = placement.fleet.units_of(&owner).count();
    let others = placement.member_loads(&loads);
    let others = others.iter().filter(|(vm, _)| **vm != owner);
    let after = imbalance(others.map(|(_, load)| load));
    let mut figures = churn_figures(event, members, settled, least as f64);
    let name = format!("units on the owner of the hot key, {event}, {members} members");
    figures.push(Figure::new(name, "units", held as f64).at_most(1.0));
    let event = format!("{event}, other members");
    figures.push(imbalance_figure(&event, members, after, plain));
    Ok(figures)
}

/// Measures how long a hot key of real processes stays together with others.
fn real_hot_key(seed: u64) -> Result<Vec<Figure>> {
    let fleet = Fleet::builder()
        .zone("a", 2)
        .zone("b", 2)
        .zone("c", 2)
        .service(SERVICE, ServiceKind::Keyed { shards: 64 })
        .workspace(WorkspacePlan::new("collective"))
        .log_level("warn")
        .upstreams(UpstreamOptions {
            work_ms: 20,
            ..UpstreamOptions::default()
        })
        .start()?;
    fleet.wait_until_ready(START_TIMEOUT)?;
    let mut plan = LoadPlan::new(fleet.entries(), LOAD);
    plan.seed = seed;
    for (keys, rate) in [(KEYS, 300.0), (1, 200.0)] {
        let stream = fleet.workspaces()[0].stream(SERVICE, "GET", rate);
        plan = plan.with_stream(RequestStream { keys, ..stream });
    }
    let before = moved_units(&fleet)?;
    let started = Instant::now();
    let load = spawn(move || plan.run());
    let alone = fleet.wait_until("the hot key is not alone", LOAD, || {
        is_alone(&fleet).unwrap_or(false)
    });
    let alone_after = started.elapsed().as_secs_f64();
    let settled_at = moved_units(&fleet)?;
    std::thread::sleep(UNREST_AFTER);
    let unrest_from = moved_units(&fleet)?;
    load.join().map_err(|_| anyhow!("the load panicked"))??;
    alone?;
    let unrest = moved_units(&fleet)? - unrest_from;
    Ok(vec![
        Figure::new(
            "time until a hot key is alone, real processes",
            "s",
            alone_after,
        )
        .at_most(ALONE_TARGET_S),
        Figure::new(
            "units moved until a hot key is alone, real processes",
            "units",
            (settled_at - before) as f64,
        ),
        Figure::new(
            "units moved from 30 s after that until the load ends, real processes",
            "units",
            unrest as f64,
        ),
    ])
}

fn is_alone(fleet: &Fleet) -> Result<bool> {
    let asked = fleet.vms().remove(0);
    let hot = Owner::of(fleet, &asked, SERVICE, "key-0")?;
    if hot.unit != pinned("key-0").to_string() || hot.vm().is_none() {
        return Ok(false);
    }
    for index in 1..KEYS {
        let other = Owner::of(fleet, &asked, SERVICE, &format!("key-{index}"))?;
        if other.vm() == hot.vm() {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Returns how many moves of units the log holds.
fn moved_units(fleet: &Fleet) -> Result<usize> {
    let mut records: BTreeMap<u64, String> = BTreeMap::new();
    loop {
        let from = records.last_key_value().map_or(1, |(offset, _)| offset + 1);
        let page = fleet.log().read(from).map_err(anyhow::Error::msg)?;
        if page.is_empty() {
            break;
        }
        records.extend(page);
    }
    let mut moved = 0;
    for text in records.values() {
        let record: Record = serde_json::from_str(text)?;
        if let Body::Move { units, .. } = record.body {
            moved += units.len();
        }
    }
    Ok(moved)
}
