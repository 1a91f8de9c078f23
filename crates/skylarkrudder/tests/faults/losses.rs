//! Losses of processes, VMs and availability zones, and graceful stops.

use std::thread::sleep;
use std::time::Duration;

use crate::scenario::Scenario;
use crate::scenario::TIMEOUT;

const LOAD: Duration = Duration::from_secs(8);

#[test]
fn lost_vm() {
    Scenario::start()
        .under_load(LOAD)
        .during_load(|scenario| scenario.fleet.kill("ordering-a-1").unwrap())
        .check_trace()
        .check_every_key_is_served();
}

#[test]
fn lost_vm_that_restarts_at_once() {
    Scenario::start()
        .under_load(LOAD)
        .during_load(|scenario| scenario.fleet.restart("ordering-a-1").unwrap())
        .check_trace()
        .check_every_key_is_served();
}

#[test]
fn lost_daemon_whose_upstream_keeps_running() {
    Scenario::start()
        .under_load(LOAD)
        .during_load(|scenario| {
            scenario
                .fleet
                .with_daemon("ordering-b-1", |daemon| daemon.kill())
                .unwrap()
        })
        .check_trace()
        .check_every_key_is_served();
}

#[test]
fn lost_upstream_that_restarts() {
    Scenario::start()
        .under_load(LOAD)
        .during_load(|scenario| scenario.fleet.restart_upstream("ordering-b-1").unwrap())
        .check_trace()
        .check_every_key_is_served();
}

#[test]
fn lost_zone_that_restarts() {
    Scenario::start()
        .under_load(Duration::from_secs(12))
        .during_load(|scenario| {
            for vm in scenario.fleet.vms_in("c") {
                scenario.fleet.kill(&vm).unwrap();
            }
            sleep(Duration::from_secs(4));
            for vm in scenario.fleet.vms_in("c") {
                scenario.fleet.restart(&vm).unwrap();
            }
        })
        .check_trace()
        .check_every_key_is_served();
}

#[test]
fn two_losses_one_after_the_other() {
    Scenario::start()
        .under_load(Duration::from_secs(12))
        .during_load(|scenario| {
            scenario.fleet.kill("ordering-a-1").unwrap();
            sleep(Duration::from_secs(1));
            scenario.fleet.kill("workshop-b-1").unwrap();
        })
        .check_trace()
        .check_every_key_is_served();
}

#[test]
fn graceful_stops_of_all_vms_one_after_another() {
    Scenario::start()
        .under_load(Duration::from_secs(15))
        .during_load(|scenario| {
            for vm in scenario.fleet.vms() {
                scenario.fleet.terminate(&vm).unwrap();
                let status = scenario.fleet.wait_for_exit(&vm, TIMEOUT).unwrap();
                assert!(status.success(), "{vm}: {status}");
                scenario.fleet.restart(&vm).unwrap();
                scenario.fleet.wait_until_ready(TIMEOUT).unwrap();
            }
        })
        .check_trace()
        .check_every_key_is_served();
}
