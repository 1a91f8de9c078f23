//! Scenarios with single faults, and the decisions that follow.

use std::collections::BTreeMap;

use cluster::Body;
use ids::Unit;
use membership::Decision;
use membership::Event;
use membership::Trace;
use membership::TraceLine;

use crate::broken_rule::BrokenRule;
use crate::is_served;
use crate::node::settings;
use crate::simulation::Input;
use crate::simulation::MS;
use crate::simulation::SECOND;
use crate::simulation::Simulation;
use crate::units;

pub(crate) const START: u64 = 5 * SECOND;

/// Maximum time for which units are unserved after a loss, in milliseconds.
pub(crate) const TAKEOVER_MS: u64 = 4_000;

/// Maximum time for which units are unserved after the loss of a zone, in milliseconds. If witnesses
/// are in the same zone, new owners may have to wait for two leases.
const ZONE_TAKEOVER_MS: u64 = 4_000;

/// Returns a simulation of four nodes in three zones in which all units are served.
pub(crate) fn settled_simulation() -> Simulation {
    settled_with_seed(7)
}

fn settled_with_seed(seed: u64) -> Simulation {
    settled_with(seed, 4, BrokenRule::None)
}

/// Returns a simulation of `size` nodes in which all units are served.
pub(crate) fn settled_with(seed: u64, size: usize, broken_rule: BrokenRule) -> Simulation {
    let mut sim = Simulation::new(seed, size, broken_rule);
    sim.run_until(START);
    assert!(units().all(|unit| is_served(&sim, &unit)));
    sim.decisions.clear();
    sim
}

/// Runs until all units are served, and returns the time since `from` in milliseconds.
pub(crate) fn time_until_served(sim: &mut Simulation, from: u64) -> u64 {
    while !units().all(|unit| is_served(sim, &unit)) {
        assert!(sim.at < from + 60 * SECOND, "units stay unserved");
        sim.step();
    }
    (sim.at - from) / MS
}

fn decisions(sim: &Simulation) -> String {
    let lines = sim.decisions.iter().map(|(at, index, decision)| {
        let decision = serde_json::to_string(decision).expect("a decision is JSON");
        format!("{at} ms vm-{index} {decision}\n")
    });
    lines.collect()
}

#[test]
fn units_of_a_killed_vm_are_served_again() {
    let mut sim = settled_simulation();
    sim.nodes[0].kill();
    sim.nodes[0].upstream.paused_until = u64::MAX / 2;
    let took = time_until_served(&mut sim, START);
    assert!(took <= TAKEOVER_MS, "{took} ms");
    insta::assert_snapshot!(decisions(&sim));
}

#[test]
fn units_of_a_killed_zone_are_served_again() {
    for seed in 100..106 {
        let mut sim = Simulation::new(seed, 9, BrokenRule::None);
        sim.run_until(START);
        for index in [0, 3, 6] {
            sim.nodes[index].kill();
            sim.nodes[index].upstream.paused_until = u64::MAX / 2;
        }
        let took = time_until_served(&mut sim, START);
        assert!(took <= ZONE_TAKEOVER_MS, "{took} ms with seed {seed}");
    }
}

#[test]
fn a_fleet_whose_processes_were_all_killed_serves_again() {
    let mut sim = settled_simulation();
    for index in 0..4 {
        sim.nodes[index].kill();
        sim.schedule(index as u64 * 100 * MS, index, Input::Restart);
    }
    let took = time_until_served(&mut sim, START);
    assert!(took <= 3 * TAKEOVER_MS, "{took} ms");
}

#[test]
fn leases_of_a_restarted_fleet_hold_soon_after_the_last_join() {
    for seed in 100..106 {
        let mut sim = Simulation::new(seed, 9, BrokenRule::None);
        sim.run_until(START);
        sim.decisions.clear();
        for index in 0..9 {
            sim.nodes[index].kill();
            sim.schedule(index as u64 * 50 * MS, index, Input::Restart);
        }
        sim.run_until(START + 20 * SECOND);
        let last = |matches: fn(&Decision) -> bool| {
            let decisions = sim.decisions.iter();
            let matching = decisions.filter(|(_, _, decision)| matches(decision));
            matching.map(|(at, ..)| *at).max().unwrap()
        };
        let joined = last(|decision| matches!(decision, Decision::Joined { .. }));
        let held = last(|decision| matches!(decision, Decision::LeaseHeld { .. }));
        assert!(held < joined + 800, "{} ms with seed {seed}", held - joined);
    }
}

#[test]
fn units_of_a_paused_upstream_are_served_again() {
    let mut sim = settled_simulation();
    sim.nodes[0].upstream.paused_until = START + 20 * SECOND;
    sim.run_until(START + 2 * SECOND + SECOND / 2);
    let took = time_until_served(&mut sim, START);
    assert!(took <= TAKEOVER_MS, "{took} ms");
    insta::assert_snapshot!(decisions(&sim));
}

#[test]
fn a_graceful_stop_hands_every_unit_over() {
    let mut sim = settled_simulation();
    sim.schedule(0, 0, Input::Home(Event::Stop));
    while sim.nodes[0].is_up {
        sim.step();
    }
    insta::assert_snapshot!(decisions(&sim));
}

#[test]
fn a_zone_that_is_taken_out_hands_its_units_over() {
    let mut sim = settled_simulation();
    sim.append_as_operator(Body::Zone {
        position: 0,
        zone: "zone-0".to_owned(),
        out: true,
        base: 0,
    });
    sim.run_until(START + 2 * SECOND);
    time_until_served(&mut sim, START);
    for index in [0, 3] {
        assert!(sim.nodes[index].agent.serving_units().is_empty());
    }
    insta::assert_snapshot!(decisions(&sim));
}

#[test]
fn owners_serve_while_the_log_is_down() {
    let mut sim = settled_simulation();
    sim.is_log_down = true;
    while sim.at < START + 60 * SECOND {
        sim.step();
        assert!(units().all(|unit| is_served(&sim, &unit)));
    }
    assert_eq!(decisions(&sim), "");
}

#[test]
fn a_node_without_log_and_peers_serves_nothing() {
    let mut sim = settled_simulation();
    sim.nodes[1].is_cut_from_log = true;
    for other in [0, 2, 3] {
        sim.cuts.extend([(1, other), (other, 1)]);
    }
    sim.run_until(START + 4 * SECOND);
    let node = &sim.nodes[1];
    assert!(!node.agent.is_informed(node.now(sim.at)));
    assert_eq!(units().filter(|unit| node.serves(sim.at, unit)).count(), 0);
}

#[test]
fn a_node_that_is_cut_from_the_log_pulls_records_from_its_peers() {
    let mut sim = settled_simulation();
    sim.nodes[1].is_cut_from_log = true;
    sim.run_until(START + 2 * SECOND);
    sim.append_as_operator(Body::Zone {
        position: 0,
        zone: "zone-1".to_owned(),
        out: true,
        base: 0,
    });
    sim.run_until(START + 6 * SECOND);
    let node = &sim.nodes[1];
    assert!(node.agent.fleet().is_zone_out("zone-1"));
    assert!(node.agent.is_informed(node.now(sim.at)));
}

#[test]
fn a_new_process_starts_from_a_snapshot() {
    let mut sim = settled_simulation();
    let fleet = sim.nodes[1].agent.fleet().clone();
    for body in fleet.snapshot_bodies() {
        sim.append_as_operator(body);
    }
    sim.run_until(START + SECOND);
    sim.first_offset = fleet.next_offset();
    sim.nodes[0].kill();
    sim.schedule(SECOND, 0, Input::Restart);
    sim.run_until(START + 10 * SECOND);
    assert!(units().all(|unit| is_served(&sim, &unit)));
    assert_eq!(sim.nodes[0].agent.fleet(), sim.nodes[1].agent.fleet());
    assert!(!sim.nodes[0].agent.serving_units().is_empty());
}

#[test]
fn a_snapshot_is_written_after_a_long_outage() {
    let mut sim = settled_simulation();
    sim.is_log_down = true;
    sim.run_until(START + 40 * SECOND);
    let through = sim.nodes[0].agent.fleet().snapshot_through();
    sim.is_log_down = false;
    sim.run_until(START + 42 * SECOND);
    let fleet = sim.nodes[0].agent.fleet();
    assert!(fleet.snapshot_through() > through);
    let written = fleet.next_offset() - fleet.snapshot_through();
    assert!(written <= 3, "{written} records since the snapshot");
}

/// Datagrams that arrive during the pause are lost, since the socket's buffer is full.
#[test]
fn a_witness_that_was_paused_suspects_nobody() {
    let mut sim = settled_simulation();
    sim.nodes[1].paused_until = START + 5 * SECOND;
    sim.cuts.extend([(0, 1), (2, 1), (3, 1)]);
    sim.run_until(START + 5 * SECOND);
    sim.cuts.clear();
    sim.run_until(START + 8 * SECOND);
    let is_suspicion = |decision: &Decision| matches!(decision, Decision::Suspected { .. });
    let mut own = sim.decisions.iter().filter(|(_, index, _)| *index == 1);
    assert!(!own.any(|(_, _, decision)| is_suspicion(decision)));
}

#[test]
fn lost_datagrams_end_no_lease() {
    for seed in 0..20 {
        let mut sim = settled_with_seed(seed);
        sim.loss_probability = 0.2;
        sim.run_until(START + 30 * SECOND);
        // A suspicion by a single witness leads to its replacement and does not end the lease.
        let is_suspicion = |decision: &Decision| matches!(decision, Decision::Suspected { .. });
        sim.decisions
            .retain(|(_, _, decision)| !is_suspicion(decision));
        assert_eq!(decisions(&sim), "", "seed {seed}");
    }
}

#[test]
fn requests_to_an_upstream_that_checks_no_grants_end_before_the_lease() {
    let mut sim = Simulation::new(7, 1, BrokenRule::None);
    sim.nodes[0].checks_grants = false;
    sim.run_until(3 * SECOND);
    let agent = &sim.nodes[0].agent;
    assert_eq!(agent.serving_units().len(), units().count());
    assert!(agent.request_deadline().is_some());
    assert!(agent.request_deadline() < agent.lease_until());
    assert!(units().all(|unit| !sim.nodes[0].upstream.accepts(sim.at, &unit)));
}

#[test]
fn a_recorded_trace_replays_to_the_same_decisions() {
    let mut sim = Simulation::new(7, 4, BrokenRule::None);
    sim.nodes[1].trace = Some(Trace {
        lines: Vec::new(),
        settings: settings(1, sim.nodes[1].address, 0),
    });
    sim.run_until(2 * SECOND);
    sim.nodes[0].kill();
    sim.run_until(5 * SECOND);
    let trace = sim.nodes[1].trace.take().expect("it was recorded");
    let header = serde_json::to_string(&trace.settings).expect("settings are JSON");
    let lines = trace.lines.iter().map(TraceLine::to_json);
    let lines: Vec<String> = lines.map(|line| line.expect("an event is JSON")).collect();
    let text = format!("{header}\n{}", lines.join("\n"));
    let parsed = Trace::parse(&text).expect("it was written as a trace");
    let replayed = parsed.replay().into_iter().flat_map(|step| step.actions);
    let decided = replayed.filter_map(|action| match action {
        membership::Action::LogDecision(decision) => Some(decision),
        _ => None,
    });
    let made = sim.decisions.iter().filter(|(_, index, _)| *index == 1);
    let made: Vec<_> = made.map(|(_, _, decision)| decision.clone()).collect();
    assert_eq!(decided.collect::<Vec<_>>(), made);
}

#[test]
fn a_hot_key_becomes_the_only_unit_of_its_owner() {
    let mut sim = settled_simulation();
    let hot = Unit::Pinned {
        service: "ordering".to_owned(),
        key: "hot".to_owned(),
    };
    for second in 0..30 {
        for index in 0..sim.nodes.len() {
            report_loads(&mut sim, index, &hot);
        }
        sim.run_until(START + second * SECOND);
    }
    let owners = sim.nodes[0].agent.fleet().owners();
    let owner = &owners[&hot].vm;
    let owned = owners.values().filter(|other| other.vm == *owner);
    assert_eq!(owned.count(), 1);
    assert!(is_served(&sim, &hot));
}

/// Reports a load of 10 requests/s on each unit, and of 200 requests/s on one key.
fn report_loads(sim: &mut Simulation, index: usize, hot: &Unit) {
    let agent = &sim.nodes[index].agent;
    let shard = agent.fleet().unit_of(&"ordering".to_owned(), "hot");
    let is_hot = |unit: &Unit| unit == hot || Some(unit) == shard.as_ref();
    let load = |unit: &Unit| if is_hot(unit) { 200.0 } else { 10.0 };
    let units = agent.serving_units().keys();
    let loads: BTreeMap<Unit, f64> = units.map(|unit| (unit.clone(), load(unit))).collect();
    let serves_hot = loads.keys().any(is_hot);
    let keys = serves_hot.then(|| ("hot".to_owned(), 200.0));
    let total = loads.values().sum();
    let vm = sim.nodes[index].vm.clone();
    sim.schedule(0, index, Input::Home(Event::UnitLoads { loads }));
    let loads = keys.into_iter().collect();
    sim.schedule(0, index, Input::Home(Event::HotKeys { loads }));
    for other in (0..sim.nodes.len()).filter(|other| *other != index) {
        let loads = BTreeMap::from([(vm.clone(), total)]);
        sim.schedule(MS, other, Input::Home(Event::PeerLoads { loads }));
    }
}
