//! Members that join anew while their process lives.

use membership::Event;

use crate::broken_rule::BrokenRule;
use crate::fake_upstream::FakeUpstream;
use crate::find_second_owner;
use crate::replacement::cut_off;
use crate::replacement::position;
use crate::replacement::run_until_appended;
use crate::simulation::Input;
use crate::simulation::MS;
use crate::simulation::SECOND;
use crate::simulation::Simulation;

const NODES: usize = 12;

/// Number of nodes that join before the others, so that members get other witnesses when they join anew.
const FIRST_NODES: usize = 7;

/// Time until which the later nodes can't join.
const LATE_JOIN: u64 = 4 * SECOND;

/// Lets a member join anew for another version of its upstream, and cuts it and its witnesses off from the log and from all
/// others before they have read its `Join`. Reports whether a unit has two owners within 15 s.
fn has_two_owners_while_a_join_is_not_read(seed: u64, index: usize) -> bool {
    let mut sim = Simulation::new(seed, NODES, BrokenRule::None);
    for node in &mut sim.nodes[FIRST_NODES..] {
        node.upstream.paused_until = LATE_JOIN;
    }
    sim.run_until(LATE_JOIN + 4 * SECOND);
    let vm = sim.nodes[index].vm.clone();
    let witnesses = sim.nodes[index].agent.fleet().members()[&vm]
        .witnesses
        .clone();
    let mut group: Vec<usize> = witnesses.iter().map(|vm| position(&sim, vm)).collect();
    group.push(index);
    let node = &mut sim.nodes[index];
    let instance = format!("{index}/{}", sim.at);
    node.upstream = FakeUpstream::new(sim.at, node.upstream.rate, instance);
    node.version = "v2".to_owned();
    sim.schedule(MS, index, Input::Home(Event::UpstreamLost));
    run_until_appended(&mut sim, "join", &vm);
    let others: Vec<usize> = (0..NODES).filter(|other| !group.contains(other)).collect();
    for index in group {
        cut_off(&mut sim, index, &others);
    }
    let end = sim.at + 15 * SECOND;
    while sim.at < end {
        let changed_node = sim.step();
        if find_second_owner(&sim, changed_node).is_some() {
            return true;
        }
    }
    false
}

/// A member that had appended its `Join` went on renewing leases under the incarnation that the record ends.
#[test]
fn a_unit_has_one_owner_while_a_member_that_joins_anew_does_not_read_its_join() {
    for seed in 0..8 {
        for index in 0..FIRST_NODES {
            let has_two_owners = has_two_owners_while_a_join_is_not_read(seed, index);
            assert!(!has_two_owners, "seed {seed}, vm-{index}");
        }
    }
}
