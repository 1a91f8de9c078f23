//! Restores of the log from a backup.

use cluster::Body;

use crate::FAULTS_FROM;
use crate::FAULTS_UNTIL;
use crate::Outcome;
use crate::assert_all_pass;
use crate::broken_rule::BrokenRule;
use crate::faults::Faults;
use crate::find_second_owner;
use crate::is_served;
use crate::run_with_faults;
use crate::scenarios::START;
use crate::scenarios::settled_simulation;
use crate::scenarios::time_until_served;
use crate::simulation::Input;
use crate::simulation::MS;
use crate::simulation::SECOND;
use crate::simulation::Simulation;
use crate::units;

/// Seed of a run in which a member wrote the first state after a restore, and did not know of a move that others had read.
const SEED_OF_RETURNED_UNIT: u64 = 1_049;

/// Seeds of runs in which a member that had become the only one is cut off from the log and from a process that joins after a
/// restore, and the starts of their faults.
const SEEDS_OF_MISSED_RESTORES: [(u64, u64); 3] = [(1_506, 0), (2_268, 0), (3_786, FAULTS_FROM)];

/// Number of records that a restore loses.
const LOST_RECORDS: usize = 6;

/// Runs for a time, and asserts that all units are served by one node each.
fn run_served(sim: &mut Simulation, time: u64) {
    let end = sim.at + time;
    while sim.at < end {
        let changed = sim.step();
        assert_eq!(find_second_owner(sim, changed), None);
        assert!(units().all(|unit| is_served(sim, &unit)), "at {}", sim.at);
    }
}

/// Takes a zone out, so that its units move, and waits until that is done.
fn take_zone_out(sim: &mut Simulation) {
    let base = sim.nodes[1].agent.fleet().zone_version("zone-0");
    sim.append_as_operator(Body::Zone {
        base,
        out: true,
        position: 0,
        zone: "zone-0".to_owned(),
    });
    sim.run_until(sim.at + 2 * SECOND);
    time_until_served(sim, START);
    assert!(sim.nodes[0].agent.serving_units().is_empty());
}

#[test]
fn a_restore_of_the_log_stops_no_service_and_loses_no_record_that_was_read() {
    let mut sim = settled_simulation();
    take_zone_out(&mut sim);
    let owners = sim.nodes[1].agent.fleet().owners().clone();
    sim.log.restore(LOST_RECORDS);
    run_served(&mut sim, 5 * SECOND);
    for node in &sim.nodes {
        let fleet = node.agent.fleet();
        assert_eq!(fleet.owners(), &owners, "{}", node.vm);
        assert!(fleet.is_zone_out("zone-0"), "{}", node.vm);
    }
}

#[test]
fn records_that_are_appended_after_a_restore_take_effect_everywhere() {
    let mut sim = settled_simulation();
    sim.log.restore(LOST_RECORDS);
    sim.run_until(START + 2 * SECOND);
    take_zone_out(&mut sim);
    sim.log.restore(LOST_RECORDS);
    sim.log.restore(LOST_RECORDS);
    run_served(&mut sim, 5 * SECOND);
    let states: Vec<_> = sim.nodes.iter().map(|node| node.agent.fleet()).collect();
    assert!(states.iter().all(|state| *state == states[0]));
    assert!(states[0].is_zone_out("zone-0"));
}

#[test]
fn a_process_that_starts_after_a_restore_learns_what_the_others_know() {
    let mut sim = settled_simulation();
    take_zone_out(&mut sim);
    sim.nodes[2].kill();
    sim.log.restore(LOST_RECORDS);
    sim.schedule(100 * MS, 2, Input::Restart);
    sim.run_until(sim.at + 10 * SECOND);
    time_until_served(&mut sim, START);
    assert!(sim.nodes[2].agent.fleet().is_zone_out("zone-0"));
}

#[test]
fn a_member_that_cannot_read_the_restored_log_follows_it_through_peers() {
    let mut sim = settled_simulation();
    sim.nodes[1].is_cut_from_log = true;
    sim.log.restore(LOST_RECORDS);
    sim.run_until(START + 3 * SECOND);
    take_zone_out(&mut sim);
    sim.run_until(sim.at + 3 * SECOND);
    let fleet = sim.nodes[1].agent.fleet();
    assert_eq!(fleet, sim.nodes[2].agent.fleet());
    assert!(fleet.is_zone_out("zone-0"));
}

#[test]
fn a_fleet_whose_processes_all_restart_during_a_restore_serves_again() {
    let mut sim = settled_simulation();
    for index in 0..sim.nodes.len() {
        sim.nodes[index].kill();
        sim.schedule(index as u64 * 100 * MS, index, Input::Restart);
    }
    sim.log.restore(LOST_RECORDS);
    let end = START + 15 * SECOND;
    while sim.at < end {
        let changed = sim.step();
        assert_eq!(find_second_owner(&sim, changed), None);
    }
    assert!(units().all(|unit| is_served(&sim, &unit)));
}

#[test]
fn no_unit_has_two_owners_while_the_log_is_restored_from_backups() {
    assert_all_pass(Faults::new(FAULTS_FROM, FAULTS_UNTIL).with_restores());
}

#[test]
fn a_unit_that_a_restore_returns_to_a_former_owner_is_not_served_beside_the_next_owner() {
    let faults = Faults::new(FAULTS_FROM, FAULTS_UNTIL).with_restores();
    let outcome = run_with_faults(faults, SEED_OF_RETURNED_UNIT, BrokenRule::None);
    assert_eq!(outcome, Outcome::Passed);
}

#[test]
fn a_member_without_witnesses_that_misses_a_restore_is_the_only_owner_of_its_units() {
    for (seed, faults_from) in SEEDS_OF_MISSED_RESTORES {
        let faults = Faults::new(faults_from, FAULTS_UNTIL).with_restores();
        let outcome = run_with_faults(faults, seed, BrokenRule::None);
        assert_eq!(outcome, Outcome::Passed, "seed {seed}");
    }
}
