//! Network partitions between VMs, and between a VM and the log.

use std::thread::sleep;
use std::time::Duration;

use cluster::Body;
use config::KeyHash;
use standin::monotonic_us;

use crate::scenario::Scenario;

const LOAD: Duration = Duration::from_secs(14);

/// Duration of a cut, longer than a lease and the time until its holder is suspected.
const CUT: Duration = Duration::from_secs(5);

fn scenario_with_cuttable_network() -> Scenario {
    Scenario::start_with(Scenario::builder().with_network_faults()).under_load(LOAD)
}

#[test]
fn vm_cut_from_the_log_learns_of_a_withdrawn_key() {
    let outcome = scenario_with_cuttable_network()
        .during_load(|scenario| {
            let fleet = &scenario.fleet;
            fleet.network().block_both_ways("ordering-a-1", "log");
            sleep(Duration::from_secs(1));
            let hash = KeyHash::of("key-rollers");
            fleet.log().append(Body::WithdrawKey { hash }).unwrap();
            let withdrawn = &mut scenario.facts.withdrawn;
            withdrawn.insert("rollers".to_owned(), monotonic_us());
        })
        .check_trace();
    let refused = outcome.load.summary().refused;
    assert!(refused.contains_key("not-run/key-withdrawn"), "{refused:?}");
}

#[test]
fn two_vms_cut_from_each_other() {
    scenario_with_cuttable_network()
        .during_load(|scenario| {
            let network = scenario.fleet.network();
            network.block_both_ways("ordering-a-1", "ordering-b-1");
            sleep(CUT);
            network.heal();
        })
        .check_trace()
        .check_every_key_is_served();
}

#[test]
fn vm_that_does_not_receive_from_another() {
    scenario_with_cuttable_network()
        .during_load(|scenario| {
            let network = scenario.fleet.network();
            network.block("ordering-a-1", "ordering-b-1");
            sleep(CUT);
            network.heal();
        })
        .check_trace()
        .check_every_key_is_served();
}

#[test]
fn vm_cut_from_everything() {
    scenario_with_cuttable_network()
        .during_load(|scenario| {
            let network = scenario.fleet.network();
            network.isolate("ordering-a-1");
            sleep(CUT);
            network.heal();
        })
        .check_trace()
        .check_every_key_is_served();
}
