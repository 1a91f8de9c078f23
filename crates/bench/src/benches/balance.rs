//! Load imbalance and churn, in simulated placement and with real processes.

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
use crate::key_owner::KeyOwner;
use crate::placement_simulation::Convergence;
use crate::placement_simulation::Loads;
use crate::placement_simulation::PlacementSimulation;
use crate::placement_simulation::SERVICE;
use crate::placement_simulation::imbalance;
use crate::placement_simulation::pinned_unit;
use crate::placement_simulation::shard_unit;
use crate::placement_simulation::vm_name;
use crate::report::Report;

/// Numbers of members and shards of the simulated fleets.
const SIZES: [(usize, u32); 3] = [(12, 1_024), (100, 8_192), (530, 16_384)];

/// Limit of the ratio of a member's load to the mean load.
const MAX_IMBALANCE: f64 = 1.25;

/// Limit of the ratio of moved units to the smallest number that balances the load.
const MAX_CHURN: f64 = 1.2;

/// Load of a hot key, relative to the fair share of a member.
const HOT_KEY_SHARES: f64 = 1.5;

/// Limit of the time until a hot key is the only key on its owner, in seconds.
const MAX_TIME_UNTIL_ALONE_S: f64 = 60.0;

/// Number of different keys in the load on real processes. The first is the hot key.
const KEY_COUNT: u32 = 40;

/// Duration of the load on real processes.
const LOAD_DURATION: Duration = Duration::from_secs(100);

/// Time after the hot key is alone on its owner. Units moved later are counted separately, because they show that the
/// placement is not stable.
const SETTLING_DURATION: Duration = Duration::from_secs(30);

/// Time limit for the fleet to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs the `balance` benchmark.
pub(crate) fn run(seed: u64) -> Result<Report> {
    let mut figures = Vec::new();
    for (members, shards) in SIZES {
        figures.extend(measure_join(members, shards, seed)?);
        figures.extend(measure_loss(members, shards, seed)?);
        figures.extend(measure_hot_keys(members, shards, seed)?);
    }
    figures.extend(measure_real_hot_key(seed)?);
    Ok(Report::new("balance", seed, figures))
}

/// Returns random loads of the shards that differ by at most a factor of 3.
fn loads(shards: u32, seed: u64) -> Loads {
    let mut rng = SmallRng::seed_from_u64(seed);
    (0..shards)
        .map(|index| (shard_unit(index), rng.random_range(0.5..1.5)))
        .collect()
}

fn churn_figures(
    event: &str,
    members: usize,
    convergence: Convergence,
    min_moves: f64,
) -> Vec<Figure> {
    let name = |what: &str| format!("{what}, {event}, {members} members");
    let churn = Figure::new(
        name("units moved over the least"),
        "1",
        convergence.moved_units as f64 / min_moves,
    );
    vec![
        churn.at_most(MAX_CHURN),
        Figure::new(name("rounds of plans"), "rounds", convergence.rounds as f64),
    ]
}

fn imbalance_figure(
    event: &str,
    members: usize,
    product: f64,
    rendezvous_imbalance: f64,
) -> Figure {
    let name = format!("largest load over the mean, {event}, {members} members");
    let figure = Figure::new(name, "1", product);
    figure
        .at_most(MAX_IMBALANCE)
        .with_baseline(rendezvous_imbalance)
}

fn measure_join(members: usize, shards: u32, seed: u64) -> Result<Vec<Figure>> {
    let loads = loads(shards, seed);
    let mut simulation = PlacementSimulation::new(members, shards, &loads)?;
    simulation.add_member(members)?;
    let convergence = simulation.settle(&loads)?;
    let min_moves = f64::from(shards) / (members + 1) as f64;
    let mut figures = churn_figures("join", members, convergence, min_moves);
    let after = imbalance(simulation.member_loads(&loads).values());
    let rendezvous_imbalance = imbalance(simulation.rendezvous_loads(&loads).values());
    figures.push(imbalance_figure(
        "join",
        members,
        after,
        rendezvous_imbalance,
    ));
    Ok(figures)
}

fn measure_loss(members: usize, shards: u32, seed: u64) -> Result<Vec<Figure>> {
    let loads = loads(shards, seed);
    let mut simulation = PlacementSimulation::new(members, shards, &loads)?;
    let lost = vm_name(1);
    let min_moves = simulation.fleet.units_of(&lost).count();
    simulation.declare_lost(&lost)?;
    let mut convergence = simulation.settle(&loads)?;
    convergence.moved_units += min_moves;
    let mut figures = churn_figures("loss", members, convergence, min_moves as f64);
    let after = imbalance(simulation.member_loads(&loads).values());
    let rendezvous_imbalance = imbalance(simulation.rendezvous_loads(&loads).values());
    figures.push(imbalance_figure(
        "loss",
        members,
        after,
        rendezvous_imbalance,
    ));
    Ok(figures)
}

/// Measures the reaction to one key that becomes hot, and then to another that replaces it.
fn measure_hot_keys(members: usize, shards: u32, seed: u64) -> Result<Vec<Figure>> {
    let base_loads = loads(shards, seed);
    let mut simulation = PlacementSimulation::new(members, shards, &base_loads)?;
    let share = base_loads.values().sum::<f64>() / members as f64;
    let mut figures = Vec::new();
    for (event, key) in [("hot key appears", "first"), ("hot key changes", "second")] {
        figures.extend(measure_hot_key(
            &mut simulation,
            &base_loads,
            event,
            key,
            HOT_KEY_SHARES * share,
        )?);
    }
    Ok(figures)
}

fn measure_hot_key(
    simulation: &mut PlacementSimulation,
    base_loads: &Loads,
    event: &str,
    key: &str,
    load: f64,
) -> Result<Vec<Figure>> {
    let members = simulation.fleet.members().len();
    let service = SERVICE.to_owned();
    let unit = simulation.fleet.unit_of(&service, key);
    let unit = unit.ok_or_else(|| anyhow!("the service has no shards"))?;
    let mut before = base_loads.clone();
    *before.entry(unit).or_default() += load;
    let rendezvous_imbalance = imbalance(simulation.rendezvous_loads(&before).values());
    let owner = simulation.pin_key(key, load, &before)?;
    let mut loads = base_loads.clone();
    loads.insert(pinned_unit(key), load);
    let min_moves = simulation.fleet.units_of(&owner).count() - 1;
    let convergence = simulation.settle(&loads)?;
    simulation.unpin_cold_keys(&loads)?;
    let owned_units = simulation.fleet.units_of(&owner).count();
    let member_loads = simulation.member_loads(&loads);
    let others = member_loads.iter().filter(|(vm, _)| **vm != owner);
    let after = imbalance(others.map(|(_, load)| load));
    let mut figures = churn_figures(event, members, convergence, min_moves as f64);
    let name = format!("units on the owner of the hot key, {event}, {members} members");
    figures.push(Figure::new(name, "units", owned_units as f64).at_most(1.0));
    let event = format!("{event}, other members");
    figures.push(imbalance_figure(
        &event,
        members,
        after,
        rendezvous_imbalance,
    ));
    Ok(figures)
}

/// Measures with real processes how long a hot key shares its owner with other keys.
fn measure_real_hot_key(seed: u64) -> Result<Vec<Figure>> {
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
    let mut plan = LoadPlan::new(fleet.entries(), LOAD_DURATION);
    plan.seed = seed;
    for (keys, rate) in [(KEY_COUNT, 300.0), (1, 200.0)] {
        let stream = fleet.workspaces()[0].stream(SERVICE, "GET", rate);
        plan = plan.with_stream(RequestStream { keys, ..stream });
    }
    let before = count_moved_units(&fleet)?;
    let started = Instant::now();
    let load = spawn(move || plan.run());
    let alone_result = fleet.wait_until("the hot key is not alone", LOAD_DURATION, || {
        is_hot_key_alone(&fleet).unwrap_or(false)
    });
    let time_until_alone_s = started.elapsed().as_secs_f64();
    let moved_when_alone = count_moved_units(&fleet)?;
    std::thread::sleep(SETTLING_DURATION);
    let moved_when_settled = count_moved_units(&fleet)?;
    load.join().map_err(|_| anyhow!("the load panicked"))??;
    alone_result?;
    let later_moves = count_moved_units(&fleet)? - moved_when_settled;
    Ok(vec![
        Figure::new(
            "time until a hot key is alone, real processes",
            "s",
            time_until_alone_s,
        )
        .at_most(MAX_TIME_UNTIL_ALONE_S),
        Figure::new(
            "units moved until a hot key is alone, real processes",
            "units",
            (moved_when_alone - before) as f64,
        ),
        Figure::new(
            "units moved from 30 s after that until the load ends, real processes",
            "units",
            later_moves as f64,
        ),
    ])
}

fn is_hot_key_alone(fleet: &Fleet) -> Result<bool> {
    let vm = fleet.vms().remove(0);
    let hot = KeyOwner::fetch(fleet, &vm, SERVICE, "key-0")?;
    if hot.unit != pinned_unit("key-0").to_string() || hot.vm().is_none() {
        return Ok(false);
    }
    for index in 1..KEY_COUNT {
        let other = KeyOwner::fetch(fleet, &vm, SERVICE, &format!("key-{index}"))?;
        if other.vm() == hot.vm() {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Returns the number of unit moves recorded in the log.
fn count_moved_units(fleet: &Fleet) -> Result<usize> {
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
