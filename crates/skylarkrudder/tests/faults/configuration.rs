//! Configuration changes during traffic.

use std::thread::sleep;
use std::time::Duration;

use cluster::Body;
use config::KeyHash;
use standin::Location;
use standin::Outage;
use standin::monotonic_us;

use crate::scenario::Scenario;

const LOAD: Duration = Duration::from_secs(12);

#[test]
fn withdrawn_key_is_refused() {
    let outcome = Scenario::start()
        .under_load(LOAD)
        .during_load(|scenario| {
            let hash = KeyHash::of("key-rollers");
            scenario
                .fleet
                .log()
                .append(Body::WithdrawKey { hash })
                .unwrap();
            let withdrawn = &mut scenario.facts.withdrawn;
            withdrawn.insert("rollers".to_owned(), monotonic_us());
        })
        .check_trace();
    let refused = outcome.load.summary().refused;
    assert!(refused.contains_key("not-run/key-withdrawn"), "{refused:?}");
}

#[test]
fn zone_taken_out_and_returned() {
    Scenario::start()
        .under_load(Duration::from_secs(16))
        .during_load(|scenario| {
            let zone = "b".to_owned();
            let out = Body::Zone {
                position: 0,
                zone: zone.clone(),
                out: true,
                base: 0,
            };
            let base = scenario.fleet.log().append(out).unwrap();
            let from_us = monotonic_us();
            sleep(Duration::from_secs(7));
            let back = Body::Zone {
                position: 0,
                zone: zone.clone(),
                out: false,
                base,
            };
            scenario.facts.outages.push(Outage {
                from_us,
                location: Location::Zone(zone),
                until_us: Some(monotonic_us()),
            });
            scenario.fleet.log().append(back).unwrap();
        })
        .check_trace()
        .check_all_requests_are_answered()
        .check_every_key_is_served();
}

#[test]
fn upstream_drained_and_returned() {
    Scenario::start()
        .under_load(Duration::from_secs(16))
        .during_load(|scenario| {
            let vm = "ordering-a-1".to_owned();
            let drain = Body::Upstream {
                vm: vm.clone(),
                drained: true,
                base: 0,
            };
            let base = scenario.fleet.log().append(drain).unwrap();
            let from_us = monotonic_us();
            sleep(Duration::from_secs(7));
            scenario.facts.outages.push(Outage {
                from_us,
                location: Location::Vm(vm.clone()),
                until_us: Some(monotonic_us()),
            });
            let back = Body::Upstream {
                vm,
                drained: false,
                base,
            };
            scenario.fleet.log().append(back).unwrap();
        })
        .check_trace()
        .check_all_requests_are_answered()
        .check_every_key_is_served();
}
