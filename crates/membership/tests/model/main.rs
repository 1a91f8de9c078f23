//! Random check of sole ownership: real agents under lost and late messages, cuts, pauses, drifting
//! clocks, log lag and outages, kills, restarts and replacement of witnesses.

mod broken_rule;
mod fake_upstream;
mod faults;
mod node;
mod replacement;
mod scenarios;
mod simulation;

use ids::Unit;

use crate::broken_rule::BrokenRule;
use crate::faults::Faults;
use crate::simulation::SECOND;
use crate::simulation::SHARDS;
use crate::simulation::Simulation;

const FAULTS_FROM: u64 = 6 * SECOND;
const FAULTS_UNTIL: u64 = 18 * SECOND;
/// Number of runs of the correct rules.
const RUNS: u64 = 200;

const END: u64 = 60 * SECOND;

/// What one run showed.
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
    let size = 2 + (seed % 6) as usize;
    let mut sim = Simulation::new(seed, size, broken_rule);
    let mut faults = Faults::new(faults_from, FAULTS_UNTIL);
    while sim.at < END {
        let changed = sim.step();
        faults.inject(&mut sim);
        if let Some(clash) = second_owner(&sim, changed) {
            return Outcome::TwoOwners(clash);
        }
        let is_healed = sim.at > FAULTS_UNTIL + SECOND;
        if is_healed && units().all(|unit| is_served(&sim, &unit)) {
            return Outcome::Passed;
        }
    }
    let unserved = units().find(|unit| !is_served(&sim, unit));
    Outcome::Unserved(format!("{unserved:?}"))
}

/// Compares the node whose state may have changed with all others.
fn second_owner(sim: &Simulation, changed: usize) -> Option<String> {
    let node = &sim.nodes[changed];
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

/// Tells whether one of the runs finds two owners.
fn finds(broken_rule: BrokenRule, mut seeds: impl Iterator<Item = u64>) -> bool {
    seeds.any(|seed| matches!(run(seed, broken_rule), Outcome::TwoOwners(_)))
}

/// Runs all seeds, in steps.
fn check(faults_from: u64) {
    let check_part = |first: u64| {
        for seed in (first..RUNS).step_by(4) {
            let outcome = run_with_faults_from(faults_from, seed, BrokenRule::None);
            assert_eq!(outcome, Outcome::Passed, "seed {seed}");
        }
    };
    std::thread::scope(|scope| {
        for first in 0..4 {
            scope.spawn(move || check_part(first));
        }
    });
}

#[test]
fn no_unit_has_two_owners_and_all_are_served_again() {
    check(FAULTS_FROM);
}

#[test]
fn no_unit_has_two_owners_when_faults_begin_before_the_first_join() {
    check(0);
}

#[test]
fn finds_a_witness_that_renews_after_it_suspects() {
    assert!(finds(BrokenRule::RenewsSuspected, 0..40));
}

#[test]
fn finds_a_lease_counted_from_the_answer() {
    assert!(finds(BrokenRule::LeaseCountsFromAnswer, 0..40));
}

#[test]
fn finds_a_new_owner_that_does_not_wait() {
    assert!(finds(BrokenRule::NoTakeoverWait, 0..40));
}

#[test]
fn finds_grants_that_outlive_the_lease() {
    assert!(finds(BrokenRule::GrantsOutliveLease, 0..40));
}

#[test]
fn finds_moves_of_units_in_use() {
    assert!(finds(BrokenRule::NoDrain, 0..40));
}
