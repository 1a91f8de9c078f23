//! Single faults, with the decisions that they lead to.

use std::collections::BTreeMap;

use cluster::Body;
use ids::Unit;
use membership::Decision;
use membership::Event;
use membership::Trace;
use membership::TraceLine;

use crate::is_served;
use crate::node::settings;
use crate::units;
use crate::world::Input;
use crate::world::MS;
use crate::world::SECOND;
use crate::world::World;
use crate::wrong::Wrong;

pub(crate) const START: u64 = 5 * SECOND;

/// Longest time without an owner after a loss, in milliseconds.
pub(crate) const TAKEOVER_MS: u64 = 4_000;

/// Longest time without an owner after the loss of a zone, in milliseconds. Witnesses of the same zone
/// may make heirs wait for two leases.
const ZONE_TAKEOVER_MS: u64 = 4_000;

/// Returns four nodes in three zones that have settled.
pub(crate) fn settled() -> World {
    settled_with(7)
}

fn settled_with(seed: u64) -> World {
    let mut world = World::new(seed, 4, Wrong::Nothing);
    world.run_until(START);
    assert!(units().all(|unit| is_served(&world, &unit)));
    world.decisions.clear();
    world
}

/// Runs until all units are served, and returns the time since `START` in milliseconds.
pub(crate) fn until_served(world: &mut World, from: u64) -> u64 {
    while !units().all(|unit| is_served(world, &unit)) {
        assert!(world.at < from + 60 * SECOND, "units stay unserved");
        world.step();
    }
    (world.at - from) / MS
}

fn decisions(world: &World) -> String {
    let lines = world.decisions.iter().map(|(at, index, decision)| {
        let decision = serde_json::to_string(decision).expect("a decision is JSON");
        format!("{at} ms vm-{index} {decision}\n")
    });
    lines.collect()
}

#[test]
fn units_of_a_killed_vm_are_served_again() {
    let mut world = settled();
    world.nodes[0].kill();
    world.nodes[0].upstream.paused_until = u64::MAX / 2;
    let took = until_served(&mut world, START);
    assert!(took <= TAKEOVER_MS, "{took} ms");
    insta::assert_snapshot!(decisions(&world));
}

#[test]
fn units_of_a_killed_zone_are_served_again() {
    for seed in 100..106 {
        let mut world = World::new(seed, 9, Wrong::Nothing);
        world.run_until(START);
        for index in [0, 3, 6] {
            world.nodes[index].kill();
            world.nodes[index].upstream.paused_until = u64::MAX / 2;
        }
        let took = until_served(&mut world, START);
        assert!(took <= ZONE_TAKEOVER_MS, "{took} ms with seed {seed}");
    }
}

#[test]
fn a_fleet_whose_processes_all_died_serves_again() {
    let mut world = settled();
    for index in 0..4 {
        world.nodes[index].kill();
        world.schedule(index as u64 * 100 * MS, index, Input::Restart);
    }
    let took = until_served(&mut world, START);
    assert!(took <= 3 * TAKEOVER_MS, "{took} ms");
}

#[test]
fn leases_of_a_fleet_that_starts_anew_hold_soon_after_the_last_join() {
    for seed in 100..106 {
        let mut world = World::new(seed, 9, Wrong::Nothing);
        world.run_until(START);
        world.decisions.clear();
        for index in 0..9 {
            world.nodes[index].kill();
            world.schedule(index as u64 * 50 * MS, index, Input::Restart);
        }
        world.run_until(START + 20 * SECOND);
        let last = |matches: fn(&Decision) -> bool| {
            let decisions = world.decisions.iter();
            let matching = decisions.filter(|(_, _, decision)| matches(decision));
            matching.map(|(at, ..)| *at).max().unwrap()
        };
        let joined = last(|decision| matches!(decision, Decision::Joined { .. }));
        let held = last(|decision| matches!(decision, Decision::LeaseHeld { .. }));
        assert!(held < joined + 800, "{} ms with seed {seed}", held - joined);
    }
}

#[test]
fn units_of_a_frozen_upstream_are_served_again() {
    let mut world = settled();
    world.nodes[0].upstream.paused_until = START + 20 * SECOND;
    world.run_until(START + 2 * SECOND + SECOND / 2);
    let took = until_served(&mut world, START);
    assert!(took <= TAKEOVER_MS, "{took} ms");
    insta::assert_snapshot!(decisions(&world));
}

#[test]
fn a_graceful_stop_hands_every_unit_over() {
    let mut world = settled();
    world.schedule(0, 0, Input::Home(Event::Stop));
    while world.nodes[0].is_up {
        world.step();
    }
    insta::assert_snapshot!(decisions(&world));
}

#[test]
fn a_zone_that_is_taken_out_gives_its_units_away() {
    let mut world = settled();
    world.operate(Body::Zone {
        position: 0,
        zone: "zone-0".to_owned(),
        out: true,
        base: 0,
    });
    world.run_until(START + 2 * SECOND);
    until_served(&mut world, START);
    for index in [0, 3] {
        assert!(world.nodes[index].agent.serving_units().is_empty());
    }
    insta::assert_snapshot!(decisions(&world));
}

#[test]
fn owners_go_on_while_the_log_is_down() {
    let mut world = settled();
    world.is_log_down = true;
    while world.at < START + 60 * SECOND {
        world.step();
        assert!(units().all(|unit| is_served(&world, &unit)));
    }
    assert_eq!(decisions(&world), "");
}

#[test]
fn a_node_that_reaches_nobody_refuses_everything() {
    let mut world = settled();
    world.nodes[1].is_cut_from_log = true;
    for other in [0, 2, 3] {
        world.cuts.extend([(1, other), (other, 1)]);
    }
    world.run_until(START + 4 * SECOND);
    let node = &world.nodes[1];
    assert!(!node.agent.is_informed(node.now(world.at)));
    assert_eq!(
        units().filter(|unit| node.serves(world.at, unit)).count(),
        0
    );
}

#[test]
fn a_node_that_is_cut_from_the_log_learns_from_its_peers() {
    let mut world = settled();
    world.nodes[1].is_cut_from_log = true;
    world.run_until(START + 2 * SECOND);
    world.operate(Body::Zone {
        position: 0,
        zone: "zone-1".to_owned(),
        out: true,
        base: 0,
    });
    world.run_until(START + 6 * SECOND);
    let node = &world.nodes[1];
    assert!(node.agent.fleet().is_zone_out("zone-1"));
    assert!(node.agent.is_informed(node.now(world.at)));
}

#[test]
fn a_new_process_starts_from_a_snapshot() {
    let mut world = settled();
    let fleet = world.nodes[1].agent.fleet().clone();
    for body in fleet.snapshot_bodies() {
        world.operate(body);
    }
    world.run_until(START + SECOND);
    world.first = fleet.next_offset();
    world.nodes[0].kill();
    world.schedule(SECOND, 0, Input::Restart);
    world.run_until(START + 10 * SECOND);
    assert!(units().all(|unit| is_served(&world, &unit)));
    assert_eq!(world.nodes[0].agent.fleet(), world.nodes[1].agent.fleet());
    assert!(!world.nodes[0].agent.serving_units().is_empty());
}

#[test]
fn a_snapshot_is_written_after_a_long_outage() {
    let mut world = settled();
    world.is_log_down = true;
    world.run_until(START + 40 * SECOND);
    let through = world.nodes[0].agent.fleet().snapshot_through();
    world.is_log_down = false;
    world.run_until(START + 42 * SECOND);
    let fleet = world.nodes[0].agent.fleet();
    assert!(fleet.snapshot_through() > through);
    let written = fleet.next_offset() - fleet.snapshot_through();
    assert!(written <= 3, "{written} records since the snapshot");
}

/// The datagrams that arrive meanwhile are lost, as the buffer of the socket is full.
#[test]
fn a_witness_that_was_paused_suspects_nobody() {
    let mut world = settled();
    world.nodes[1].paused_until = START + 5 * SECOND;
    world.cuts.extend([(0, 1), (2, 1), (3, 1)]);
    world.run_until(START + 5 * SECOND);
    world.cuts.clear();
    world.run_until(START + 8 * SECOND);
    let is_suspicion = |decision: &Decision| matches!(decision, Decision::Suspected { .. });
    let mut own = world.decisions.iter().filter(|(_, index, _)| *index == 1);
    assert!(!own.any(|(_, _, decision)| is_suspicion(decision)));
}

#[test]
fn lost_datagrams_cost_no_lease() {
    for seed in 0..20 {
        let mut world = settled_with(seed);
        world.lost = 0.2;
        world.run_until(START + 30 * SECOND);
        // A suspicion by a single witness costs its replacement, and no lease.
        let is_suspicion = |decision: &Decision| matches!(decision, Decision::Suspected { .. });
        world
            .decisions
            .retain(|(_, _, decision)| !is_suspicion(decision));
        assert_eq!(decisions(&world), "", "seed {seed}");
    }
}

#[test]
fn an_upstream_that_checks_nothing_bounds_each_request_by_the_lease() {
    let mut world = World::new(7, 1, Wrong::Nothing);
    world.nodes[0].checks_orders = false;
    world.run_until(3 * SECOND);
    let agent = &world.nodes[0].agent;
    assert_eq!(agent.serving_units().len(), units().count());
    assert!(agent.request_deadline().is_some());
    assert!(agent.request_deadline() < agent.lease_until());
    assert!(units().all(|unit| !world.nodes[0].upstream.accepts(world.at, &unit)));
}

#[test]
fn a_recorded_trace_replays_to_the_same_decisions() {
    let mut world = World::new(7, 4, Wrong::Nothing);
    world.nodes[1].trace = Some(Trace {
        lines: Vec::new(),
        settings: settings(1, world.nodes[1].address, 0),
    });
    world.run_until(2 * SECOND);
    world.nodes[0].kill();
    world.run_until(5 * SECOND);
    let trace = world.nodes[1].trace.take().expect("it was recorded");
    let header = serde_json::to_string(&trace.settings).expect("settings are JSON");
    let lines = trace.lines.iter().map(TraceLine::to_json);
    let lines: Vec<String> = lines.map(|line| line.expect("an event is JSON")).collect();
    let text = format!("{header}\n{}", lines.join("\n"));
    let parsed = Trace::parse(&text).expect("it was written as a trace");
    let replayed = parsed.replay().into_iter().flat_map(|one| one.actions);
    let decided = replayed.filter_map(|action| match action {
        membership::Action::LogDecision(decision) => Some(decision),
        _ => None,
    });
    let made = world.decisions.iter().filter(|(_, index, _)| *index == 1);
    let made: Vec<_> = made.map(|(_, _, decision)| decision.clone()).collect();
    assert_eq!(decided.collect::<Vec<_>>(), made);
}

#[test]
fn a_hot_key_ends_alone_on_its_owner() {
    let mut world = settled();
    let hot = Unit::Pinned {
        service: "ordering".to_owned(),
        key: "hot".to_owned(),
    };
    for second in 0..30 {
        for index in 0..world.nodes.len() {
            report_loads(&mut world, index, &hot);
        }
        world.run_until(START + second * SECOND);
    }
    let owners = world.nodes[0].agent.fleet().owners();
    let owner = &owners[&hot].vm;
    let owned = owners.values().filter(|other| other.vm == *owner);
    assert_eq!(owned.count(), 1);
    assert!(is_served(&world, &hot));
}

/// Reports 10 requests/s on each unit, and 200 on one key.
fn report_loads(world: &mut World, index: usize, hot: &Unit) {
    let agent = &world.nodes[index].agent;
    let shard = agent.fleet().unit_of(&"ordering".to_owned(), "hot");
    let is_hot = |unit: &Unit| unit == hot || Some(unit) == shard.as_ref();
    let load = |unit: &Unit| if is_hot(unit) { 200.0 } else { 10.0 };
    let units = agent.serving_units().keys();
    let loads: BTreeMap<Unit, f64> = units.map(|unit| (unit.clone(), load(unit))).collect();
    let serves_hot = loads.keys().any(is_hot);
    let keys = serves_hot.then(|| ("hot".to_owned(), 200.0));
    let total = loads.values().sum();
    let vm = world.nodes[index].vm.clone();
    world.schedule(0, index, Input::Home(Event::UnitLoads { loads }));
    let loads = keys.into_iter().collect();
    world.schedule(0, index, Input::Home(Event::HotKeys { loads }));
    for other in (0..world.nodes.len()).filter(|other| *other != index) {
        let loads = BTreeMap::from([(vm.clone(), total)]);
        world.schedule(MS, other, Input::Home(Event::PeerLoads { loads }));
    }
}
