//! Faults while witnesses are assigned or replaced.

use cluster::Body;
use cluster::Fleet;
use ids::Offset;
use membership::Decision;

use crate::broken_rule::BrokenRule;
use crate::find_second_owner;
use crate::scenarios::START;
use crate::scenarios::TAKEOVER_MS;
use crate::scenarios::settled_simulation;
use crate::scenarios::time_until_served;
use crate::simulation::SECOND;
use crate::simulation::Simulation;

/// Time until which some nodes can't join.
const LATE_JOIN: u64 = 4 * SECOND;

/// Runs until a new record of a type by a writer with this prefix has been appended to the log.
pub(crate) fn run_until_appended(sim: &mut Simulation, kind: &str, writer: &str) {
    let kind = format!(r#""type":"{kind}""#);
    let writer = format!(r#""writer":"{writer}"#);
    let known = sim.log.records(0).len();
    let is_match = |record: &String| record.contains(&kind) && record.contains(&writer);
    while !sim.log.records(0)[known..].iter().any(is_match) {
        sim.step();
    }
}

/// Runs until the log holds the first `Rewitness` of the member that joined first, and returns the
/// indices of its node and of its witnesses' nodes.
fn run_until_first_witnesses(sim: &mut Simulation) -> (usize, Vec<usize>) {
    run_until_appended(sim, "join", "vm-");
    let (_, first) = fold(sim)
        .members()
        .clone()
        .pop_first()
        .expect("a member has joined");
    run_until_appended(sim, "rewitness", &first.join.vm);
    let members = fold(sim).members().clone();
    let witnesses = members[&first.join.vm].witnesses.iter();
    let witnesses = witnesses.map(|vm| position(sim, vm)).collect();
    (position(sim, &first.join.vm), witnesses)
}

fn fold(sim: &Simulation) -> Fleet {
    let mut fleet = Fleet::default();
    for (offset, record) in (1..).zip(sim.log.records(0)) {
        fleet.apply(offset, record.as_bytes());
    }
    fleet
}

pub(crate) fn position(sim: &Simulation, vm: &str) -> usize {
    let mut nodes = sim.nodes.iter();
    let position = nodes.position(|node| node.vm == vm);
    position.expect("members are nodes")
}

pub(crate) fn kill(sim: &mut Simulation, index: usize) {
    sim.nodes[index].kill();
    sim.nodes[index].upstream.paused_until = u64::MAX / 2;
}

/// Cuts a node off from the log and from `others`.
pub(crate) fn cut_off(sim: &mut Simulation, index: usize, others: &[usize]) {
    sim.nodes[index].is_cut_from_log = true;
    for other in others {
        sim.cuts.extend([(index, *other), (*other, index)]);
    }
}

/// Runs for 10 s, and then heals all cuts and waits until all units are served. Returns early with
/// `true` if a unit has two owners within the 10 s.
fn has_two_owners_until_healed(sim: &mut Simulation) -> bool {
    let end = sim.at + 10 * SECOND;
    while sim.at < end {
        let changed_node = sim.step();
        if find_second_owner(sim, changed_node).is_some() {
            return true;
        }
    }
    for node in &mut sim.nodes {
        node.is_cut_from_log = false;
    }
    sim.cuts.clear();
    time_until_served(sim, end);
    false
}

/// Cuts a zone off right after one of its two members was assigned new witnesses by a record that
/// neither of the two has read. The other member of the zone is its former witness.
fn has_two_owners_while_witnesses_are_replaced(broken_rule: BrokenRule) -> bool {
    let mut sim = Simulation::new(7, 4, broken_rule);
    for index in [1, 2] {
        sim.nodes[index].upstream.paused_until = LATE_JOIN;
    }
    sim.run_until(LATE_JOIN);
    cut_off(&mut sim, 3, &[1, 2]);
    sim.nodes[0].paused_until = LATE_JOIN + SECOND;
    run_until_appended(&mut sim, "rewitness", "vm-0");
    cut_off(&mut sim, 0, &[1, 2]);
    has_two_owners_until_healed(&mut sim)
}

#[test]
fn former_witnesses_count_until_the_member_has_read_the_new_ones() {
    assert!(!has_two_owners_while_witnesses_are_replaced(
        BrokenRule::None
    ));
    assert!(has_two_owners_while_witnesses_are_replaced(
        BrokenRule::NoJointMajority
    ));
}

/// Cuts off a member that renews its lease alone right after its first witness was assigned in the
/// log, at its own request if `requests_witness` is set or else by an operator.
fn has_two_owners_while_renewing_alone(requests_witness: bool) -> bool {
    let mut sim = Simulation::new(7, 2, BrokenRule::None);
    sim.nodes[1].upstream.paused_until = 2 * SECOND;
    sim.run_until(2 * SECOND);
    if requests_witness {
        run_until_appended(&mut sim, "rewitness", "vm-0");
    } else {
        run_until_appended(&mut sim, "join", "vm-1");
        let member = &sim.nodes[0].agent.fleet().members()["vm-0"];
        let body = Body::Rewitness {
            vm: "vm-0".to_owned(),
            incarnation: member.incarnation,
            base: member.witnesses_since,
        };
        sim.append_as_operator(body);
    }
    cut_off(&mut sim, 0, &[1]);
    has_two_owners_until_healed(&mut sim)
}

#[test]
fn a_lease_held_alone_ends_one_length_after_witnesses_are_requested() {
    assert!(!has_two_owners_while_renewing_alone(true));
    assert!(has_two_owners_while_renewing_alone(false));
}

#[test]
fn units_of_a_vm_killed_just_after_its_first_witnesses_were_assigned_are_served_again() {
    for seed in 0..40 {
        let mut sim = Simulation::new(seed, 3, BrokenRule::None);
        let (first, _) = run_until_first_witnesses(&mut sim);
        kill(&mut sim, first);
        let killed_at = sim.at;
        let took = time_until_served(&mut sim, killed_at);
        assert!(took <= TAKEOVER_MS, "{took} ms with seed {seed}");
    }
}

#[test]
fn a_vm_whose_first_witness_is_lost_immediately_gets_other_witnesses() {
    for seed in 0..40 {
        let mut sim = Simulation::new(seed, 3, BrokenRule::None);
        sim.nodes[2].upstream.paused_until = SECOND + SECOND / 2;
        let (first, witnesses) = run_until_first_witnesses(&mut sim);
        assert_eq!(witnesses.len(), 1);
        kill(&mut sim, witnesses[0]);
        let killed_at = sim.at;
        time_until_served(&mut sim, killed_at);
        sim.run_until(killed_at + 10 * SECOND);
        let fleet = sim.nodes[first].agent.fleet();
        assert!(!fleet.needs_rewitness(&sim.nodes[first].vm), "seed {seed}");
        kill(&mut sim, first);
        let killed_at = sim.at;
        let took = time_until_served(&mut sim, killed_at);
        assert!(took <= TAKEOVER_MS, "{took} ms with seed {seed}");
    }
}

/// Members whose membership ends by an operator's record join again.
#[test]
fn a_member_stays_when_most_of_its_witnesses_leave_at_the_same_time() {
    let mut sim = settled_simulation();
    let fleet = sim.nodes[0].agent.fleet();
    let incarnation = |vm: &str| -> Offset { fleet.members()[vm].incarnation };
    let bodies = ["vm-1", "vm-2"].map(|vm| Body::Leave {
        vm: vm.to_owned(),
        incarnation: incarnation(vm),
    });
    for body in bodies {
        sim.append_as_operator(body);
    }
    sim.run_until(START + 10 * SECOND);
    let mut decisions = sim.decisions.iter().filter(|(_, index, _)| *index == 0);
    assert!(!decisions.any(|(_, _, decision)| matches!(decision, Decision::Left { .. })));
}
