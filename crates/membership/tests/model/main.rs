//! Randomised model test of exclusive ownership: real agents run in a simulation with lost and late
//! messages, network cuts, pauses, drifting clocks, log lag and outages, kills, restarts and
//! replacement of witnesses.

mod broken_rule;
mod fake_upstream;
mod faults;
mod node;
mod rejoins;
mod replacement;
mod restores;
mod rollouts;
mod scenarios;
mod simulated_log;
mod simulation;
mod witness_ends;
mod witness_histories;

use ids::Unit;

use crate::broken_rule::BrokenRule;
use crate::faults::Faults;
use crate::simulation::SECOND;
use crate::simulation::SHARDS;
use crate::simulation::Simulation;

const FAULTS_FROM: u64 = 6 * SECOND;
const FAULTS_UNTIL: u64 = 18 * SECOND;
/// Number of seeds that are run with the correct rules.
const RUNS: u64 = 200;

const END: u64 = 60 * SECOND;

/// Outcome of one run.
#[derive(Debug, Eq, PartialEq)]
enum Outcome {
    Passed,
    TwoOwners(String),
    Unserved(String),
}

fn units() -> impl Iterator<Item = Unit> {
    (0..SHARDS).map(|index| Unit::Shard {
        service: "ordering".to_owned(),
        index,
    })
}

fn run(seed: u64, broken_rule: BrokenRule) -> Outcome {
    run_with_faults_from(FAULTS_FROM, seed, broken_rule)
}

fn run_with_faults_from(faults_from: u64, seed: u64, broken_rule: BrokenRule) -> Outcome {
    run_with_faults(Faults::new(faults_from, FAULTS_UNTIL), seed, broken_rule)
}

fn run_with_faults(mut faults: Faults, seed: u64, broken_rule: BrokenRule) -> Outcome {
    let size = 2 + (seed % 6) as usize;
    let mut sim = Simulation::new(seed, size, broken_rule);
    while sim.at < END {
        let changed_node = sim.step();
        faults.inject(&mut sim);
        if let Some(violation) = find_second_owner(&sim, changed_node) {
            return Outcome::TwoOwners(violation);
        }
        let is_healed = sim.at > FAULTS_UNTIL + SECOND;
        if is_healed && units().all(|unit| is_served(&sim, &unit)) {
            return Outcome::Passed;
        }
    }
    let unserved = units().find(|unit| !is_served(&sim, unit));
    Outcome::Unserved(format!("{unserved:?}"))
}

/// Returns a description of a unit that both the node whose state may have changed and another node
/// own.
fn find_second_owner(sim: &Simulation, changed_node: usize) -> Option<String> {
    let node = &sim.nodes[changed_node];
    let others = || sim.nodes.iter().filter(|other| other.vm != node.vm);
    units()
        .filter(|unit| sim.owns(node, unit))
        .find_map(|unit| {
            let other = others().find(|other| sim.owns(other, &unit))?;
            let (at, one, two) = (sim.at, &node.vm, &other.vm);
            Some(format!("{unit} at {at} us: {one} and {two}"))
        })
}

fn is_served(sim: &Simulation, unit: &Unit) -> bool {
    let is_served = |node: &&crate::node::Node| {
        node.serves(sim.at, unit) && node.upstream.accepts(sim.at, unit)
    };
    sim.nodes.iter().filter(is_served).count() == 1
}

/// Reports whether a run with one of the seeds detects two owners.
fn detects_two_owners(broken_rule: BrokenRule, mut seeds: impl Iterator<Item = u64>) -> bool {
    seeds.any(|seed| matches!(run(seed, broken_rule), Outcome::TwoOwners(_)))
}

/// Runs all seeds with the correct rules on four threads, and asserts that each run passes.
fn assert_all_pass(faults: Faults) {
    let run_seeds_from = |first: u64| {
        for seed in (first..RUNS).step_by(4) {
            let outcome = run_with_faults(faults, seed, BrokenRule::None);
            assert_eq!(outcome, Outcome::Passed, "seed {seed}");
        }
    };
    std::thread::scope(|scope| {
        for first in 0..4 {
            scope.spawn(move || run_seeds_from(first));
        }
    });
}

#[test]
fn no_unit_has_two_owners_and_all_are_served_again() {
    assert_all_pass(Faults::new(FAULTS_FROM, FAULTS_UNTIL));
}

#[test]
fn no_unit_has_two_owners_when_faults_begin_before_the_first_join() {
    assert_all_pass(Faults::new(0, FAULTS_UNTIL));
}

#[test]
fn no_unit_has_two_owners_while_upstreams_state_departures_and_limits() {
    assert_all_pass(Faults::new(FAULTS_FROM, FAULTS_UNTIL).with_statements());
}

#[test]
fn no_unit_has_two_owners_while_versions_are_rolled_out() {
    assert_all_pass(Faults::new(FAULTS_FROM, FAULTS_UNTIL).with_rollouts());
}

#[test]
fn detects_a_witness_that_renews_after_it_suspects() {
    assert!(detects_two_owners(BrokenRule::RenewsSuspected, 0..40));
}

#[test]
fn detects_a_lease_counted_from_the_answer() {
    assert!(detects_two_owners(BrokenRule::LeaseCountsFromAnswer, 0..40));
}

#[test]
fn detects_a_new_owner_that_does_not_wait() {
    assert!(detects_two_owners(BrokenRule::NoTakeoverWait, 0..40));
}

#[test]
fn detects_grants_that_outlive_the_lease() {
    assert!(detects_two_owners(BrokenRule::GrantsOutliveLease, 0..40));
}

#[test]
fn detects_moves_of_units_in_use() {
    assert!(detects_two_owners(BrokenRule::NoDrain, 0..40));
}
