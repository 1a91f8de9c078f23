//! Members whose upstream returns with another version while a version is rolled out.

use cluster::Body;
use cluster::RolloutRecord;
use cluster::RolloutStep;

use crate::broken_rule::BrokenRule;
use crate::fake_upstream::FakeUpstream;
use crate::find_second_owner;
use crate::is_served;
use crate::node::Node;
use crate::replacement::run_until_appended;
use crate::scenarios::START;
use crate::scenarios::settled_simulation;
use crate::scenarios::time_until_served;
use crate::simulation::Input;
use crate::simulation::MS;
use crate::simulation::SECOND;
use crate::simulation::Simulation;
use crate::units;

/// Number of nodes, so that most of those that are not cut off keep their leases.
const NODES: usize = 12;

const SEEDS: u64 = 10;

/// Returns a simulation of four nodes in which all units are served and version v2 is on trial.
fn simulation_with_trial() -> Simulation {
    with_trial(settled_simulation())
}

fn with_trial(mut sim: Simulation) -> Simulation {
    sim.append_as_operator(Body::Rollout(RolloutRecord {
        service: "ordering".to_owned(),
        position: 1,
        step: RolloutStep::Ordered {
            target_version: "v2".to_owned(),
            duration_ms: 12_000,
            ordered_unix_ms: 0,
        },
    }));
    sim.run_until(START + SECOND);
    sim
}

/// Runs for a time, and asserts that no unit has two owners.
fn run_with_one_owner(sim: &mut Simulation, time: u64) {
    let end = sim.at + time;
    while sim.at < end {
        let changed = sim.step();
        assert_eq!(find_second_owner(sim, changed), None);
    }
}

fn replace_upstream(sim: &mut Simulation, index: usize, version: &str) {
    let instance = format!("{index}/{}", sim.at);
    let node = &mut sim.nodes[index];
    node.upstream = FakeUpstream::new(sim.at, node.upstream.rate, instance);
    node.version = version.to_owned();
    sim.schedule(MS, index, Input::Home(membership::Event::UpstreamLost));
}

#[test]
fn a_member_that_returns_on_trial_gets_no_units_and_the_others_serve_all() {
    let mut sim = simulation_with_trial();
    assert!(!sim.nodes[0].agent.serving_units().is_empty());
    replace_upstream(&mut sim, 0, "v2");
    run_with_one_owner(&mut sim, 8 * SECOND);
    assert!(units().all(|unit| is_served(&sim, &unit)));
    assert!(sim.nodes[0].agent.serving_units().is_empty());
    let member = &sim.nodes[1].agent.fleet().members()["vm-0"];
    assert_eq!(member.join.version, "v2");
}

/// Guards against new owners that serve while the former upstream, which has not answered since, still holds grants.
#[test]
fn units_of_a_member_with_another_version_wait_for_the_grants_of_its_upstream() {
    let mut sim = simulation_with_trial();
    assert!(!sim.nodes[0].agent.serving_units().is_empty());
    // The process of the upstream stays, and only the statement of its version is late.
    sim.nodes[0].version = "v2".to_owned();
    let has_version = |sim: &Simulation| {
        sim.nodes[0]
            .agent
            .upstream()
            .is_some_and(|known| known.version == "v2")
    };
    while !has_version(&sim) {
        sim.step();
    }
    sim.nodes[0].upstream.paused_until = sim.at + 10 * SECOND;
    run_with_one_owner(&mut sim, 9 * SECOND);
    assert!(units().all(|unit| is_served(&sim, &unit)));
}

/// Guards against grants that a member gives to an upstream of another version before it has read which units it keeps. Its
/// witnesses renew its lease, as they have not read that either, and the other nodes have.
#[test]
fn an_upstream_with_another_version_gets_no_grants_before_its_member_has_joined_again() {
    for seed in 0..SEEDS {
        let mut sim = Simulation::new(seed, NODES, BrokenRule::None);
        sim.run_until(START);
        let mut sim = with_trial(sim);
        let serves = |node: &Node| !node.agent.serving_units().is_empty();
        let first = sim.nodes.iter().position(serves).expect("an owner");
        let vm = sim.nodes[first].vm.clone();
        replace_upstream(&mut sim, first, "v2");
        run_until_appended(&mut sim, "join", &vm);
        let witnesses = &sim.nodes[first].agent.fleet().members()[&vm].witnesses;
        let majority = witnesses.iter().take(witnesses.len() / 2 + 1);
        let majority: Vec<&String> = majority.collect();
        let is_cut = |other: &String| majority.contains(&other) || *other == vm;
        let (cut, others): (Vec<usize>, Vec<usize>) =
            (0..sim.nodes.len()).partition(|index| is_cut(&sim.nodes[*index].vm));
        for index in cut {
            sim.nodes[index].is_cut_from_log = true;
            for other in &others {
                sim.cuts.extend([(index, *other), (*other, index)]);
            }
        }
        run_with_one_owner(&mut sim, 10 * SECOND);
        for node in &mut sim.nodes {
            node.is_cut_from_log = false;
        }
        sim.cuts.clear();
        let healed_at = sim.at;
        time_until_served(&mut sim, healed_at);
    }
}
