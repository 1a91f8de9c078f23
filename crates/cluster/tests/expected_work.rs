//! Units balanced by expected work over capacities weighted by speed, in replays of 40 members whose upstreams have speeds from
//! 0.7 to 1.6, each compared with loads measured in busy time and capacities in slots.

mod support;

use std::collections::BTreeMap;

use cluster::Body;
use cluster::Document;
use cluster::LoadView;
use cluster::UnitFence;
use cluster::plan_moves;
use config::Manifest;
use config::Plans;
use config::Service;
use ids::Unit;
use support::Log;
use support::join;
use support::vm;

const SERVICE: &str = "ordering";
const MEMBERS: usize = 40;
const SLOTS: f64 = 10.0;
const KEYS: u32 = 65_536;

/// Part of the capacity of the fleet that the work takes.
const UTILISATION: f64 = 0.6;

/// Part of the work that the busy keys take.
const BUSY_WORK: f64 = 0.4;

/// First of the neighbouring busy keys.
const FIRST_BUSY: u32 = 20_003;

/// Largest ratio of the time of a request with its wait to that without.
const MAX_WAIT_FACTOR: f64 = 10.0;

/// Number of units that a member moves at a time.
const BUDGET: usize = 32;

/// Number of plans of each member, 2.5 s apart.
const PLANS: usize = 24;

/// Loads by which units are moved.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LoadKind {
    /// Time on the upstream of the owner, and capacities in slots.
    BusyTime,
    /// Costs, and capacities in slots times speed.
    ExpectedWork,
}

fn speed(index: usize) -> f64 {
    let place = index * 7 % MEMBERS;
    0.7 + 0.9 * place as f64 / (MEMBERS - 1) as f64
}

fn log_of(shards: u32) -> Log {
    let mut log = Log::default();
    for index in 0..MEMBERS {
        log.append_applied(join(index, ["za", "zb", "zc"][index % 3]));
    }
    let service = Service {
        numeric_keys: Some(KEYS),
        shards,
        ..Service::default()
    };
    let manifest = Manifest {
        plans: Plans {
            hosts: [("app.example".to_owned(), Vec::new())].into(),
            services: [(SERVICE.to_owned(), service)].into(),
            ..Plans::default()
        },
        revision: 1,
        ..Manifest::default()
    };
    log.append_applied(Body::Publish {
        base: 0,
        document: Document::Manifest(Box::new(manifest)),
    });
    log
}

/// Returns the work of each unit, in slots of an upstream of speed 1 that it keeps busy.
fn work_by_unit(log: &Log, busy_keys: u32) -> BTreeMap<Unit, f64> {
    let capacity: f64 = (0..MEMBERS).map(|index| speed(index) * SLOTS).sum();
    let total = capacity * UTILISATION;
    let mut work: BTreeMap<Unit, f64> = BTreeMap::new();
    for key in 0..KEYS {
        let is_busy = (FIRST_BUSY..FIRST_BUSY + busy_keys).contains(&key);
        let part = match is_busy {
            true => BUSY_WORK / f64::from(busy_keys),
            false if busy_keys == 0 => 1.0 / f64::from(KEYS),
            false => (1.0 - BUSY_WORK) / f64::from(KEYS - busy_keys),
        };
        let unit = log.fleet.unit_of(&SERVICE.to_owned(), &key.to_string());
        *work.entry(unit.unwrap()).or_default() += part * total;
    }
    work
}

/// Returns the work of each member over its speed.
fn busy_slots(log: &Log, work: &BTreeMap<Unit, f64>) -> Vec<f64> {
    let busy = |index: usize| {
        let owner = vm(index);
        let units = log.fleet.units_of(&owner).map(|(unit, _)| work[unit]);
        units.sum::<f64>() / speed(index)
    };
    (0..MEMBERS).map(busy).collect()
}

/// State of a fleet after `PLANS` plans.
#[derive(Clone, Copy, Debug)]
struct Settled {
    /// Utilisation of the busiest member over the mean.
    busiest_over_mean: f64,
    /// Number of moved units.
    moved: usize,
    /// Number of units that were moved in the last third of the plans.
    moved_late: usize,
}

/// Lets members plan with the tolerance of the template of a deployment.
fn settle(shards: u32, busy_keys: u32, kind: LoadKind) -> Settled {
    settle_with(shards, busy_keys, kind, Some(0.8))
}

fn settle_with(shards: u32, busy_keys: u32, kind: LoadKind, tolerance: Option<f64>) -> Settled {
    let mut log = log_of(shards);
    let work = work_by_unit(&log, busy_keys);
    let load = |unit: &Unit, owner: usize| match kind {
        LoadKind::BusyTime => work[unit] / speed(owner),
        LoadKind::ExpectedWork => work[unit],
    };
    // Measured times include the waits for a slot.
    let wait_factor = |busy: f64| match kind {
        LoadKind::BusyTime => 1.0 / (1.0 - busy / SLOTS).max(1.0 / MAX_WAIT_FACTOR),
        LoadKind::ExpectedWork => 1.0,
    };
    let capacities = match kind {
        LoadKind::BusyTime => BTreeMap::new(),
        LoadKind::ExpectedWork => (0..MEMBERS)
            .map(|index| (vm(index), SLOTS * speed(index)))
            .collect(),
    };
    let (mut moved, mut moved_late) = (0, 0);
    for plan in 0..PLANS {
        let loads = |index: usize| -> BTreeMap<Unit, f64> {
            let owner = vm(index);
            let units = || log.fleet.units_of(&owner).map(|(unit, _)| unit);
            let factor = wait_factor(units().map(|unit| load(unit, index)).sum());
            let loads = units().map(|unit| (unit.clone(), load(unit, index) * factor));
            loads.collect()
        };
        let peer_loads: BTreeMap<String, f64> = (0..MEMBERS)
            .map(|index| (vm(index), loads(index).values().sum()))
            .collect();
        let mut bodies = Vec::new();
        for index in 0..MEMBERS {
            let view = LoadView {
                budget: BUDGET,
                capacities: capacities.clone(),
                max_shards: Some(165),
                moves_heavy_units: kind == LoadKind::ExpectedWork,
                peer_loads: peer_loads.clone(),
                tolerance,
                unit_loads: loads(index),
                ..LoadView::default()
            };
            for (to, units) in plan_moves(&log.fleet, &vm(index), &view) {
                assert!(units.len() <= BUDGET);
                moved += units.len();
                if plan >= PLANS * 2 / 3 {
                    moved_late += units.len();
                }
                bodies.push(move_body(&log, &vm(index), &to, units));
            }
        }
        for body in bodies {
            log.append_applied(body);
        }
    }
    let busy = busy_slots(&log, &work);
    let mean = busy.iter().sum::<f64>() / busy.len() as f64;
    Settled {
        busiest_over_mean: busy.into_iter().fold(0.0, f64::max) / mean,
        moved,
        moved_late,
    }
}

fn move_body(log: &Log, from: &str, to: &str, units: Vec<Unit>) -> Body {
    let units = units.into_iter().map(|unit| UnitFence {
        fence: log.fleet.owner(&unit).unwrap().fence,
        unit,
    });
    Body::Move {
        handovers: BTreeMap::new(),
        from: from.to_owned(),
        incarnation: log.incarnation(from),
        to: to.to_owned(),
        to_incarnation: log.incarnation(to),
        units: units.collect(),
    }
}

/// Load patterns: 200 or 60 neighbouring keys of 65,536 with 0.4 of the work, and no busy keys.
#[test]
fn busy_neighbours_are_spread_and_a_heavy_unit_goes_to_a_fast_upstream() {
    for (busy_keys, max_busiest) in [(200, 2.5), (60, 7.5)] {
        let before = settle(256, busy_keys, LoadKind::BusyTime);
        let finer = settle(2_048, busy_keys, LoadKind::BusyTime);
        let after = settle(2_048, busy_keys, LoadKind::ExpectedWork);
        println!("{busy_keys} busy keys: {before:.2?}, finer {finer:.2?}, by work {after:.2?}");
        assert!(after.busiest_over_mean < max_busiest, "{after:?}");
        assert!(after.busiest_over_mean < 0.85 * finer.busiest_over_mean);
        assert!(after.busiest_over_mean < 0.5 * before.busiest_over_mean);
        assert!(after.moved <= finer.moved, "{after:?} {finer:?}");
        assert_eq!(after.moved_late, 0, "heavy units move without end");
    }
}

/// Guards against equal shares of upstreams of different speeds.
#[test]
fn fast_upstreams_own_more() {
    let settled = settle_with(2_048, 0, LoadKind::ExpectedWork, Some(0.1));
    println!("no busy keys: {settled:.2?}");
    assert!(settled.busiest_over_mean < 1.2, "{settled:?}");
    assert_eq!(settled.moved_late, 0);
}
