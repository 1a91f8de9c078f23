//! Processes that are paused and resumed.

use std::thread::sleep;
use std::time::Duration;

use crate::scenario::Scenario;

const LOAD: Duration = Duration::from_secs(12);

/// Pause that is longer than a lease and the time until its holder is suspected.
const LONG_PAUSE: Duration = Duration::from_secs(5);

/// Pause that is shorter than a lease.
const SHORT_PAUSE: Duration = Duration::from_millis(700);

#[test]
fn vm_paused_for_longer_than_its_lease() {
    Scenario::start()
        .under_load(LOAD)
        .during_load(|scenario| {
            scenario.fleet.freeze("ordering-a-1").unwrap();
            sleep(LONG_PAUSE);
            scenario.fleet.thaw("ordering-a-1").unwrap();
        })
        .check_trace()
        .check_every_key_is_served();
}

#[test]
fn daemon_paused_for_longer_than_its_lease() {
    Scenario::start()
        .under_load(LOAD)
        .during_load(|scenario| {
            let fleet = &scenario.fleet;
            fleet
                .with_daemon("ordering-a-1", |daemon| daemon.freeze())
                .unwrap();
            sleep(LONG_PAUSE);
            fleet
                .with_daemon("ordering-a-1", |daemon| daemon.thaw())
                .unwrap();
        })
        .check_trace()
        .check_every_key_is_served();
}

#[test]
fn upstream_paused_for_longer_than_its_grants() {
    Scenario::start()
        .under_load(LOAD)
        .during_load(|scenario| {
            let fleet = &scenario.fleet;
            fleet
                .with_upstream("ordering-a-1", |upstream| upstream.freeze())
                .unwrap();
            sleep(LONG_PAUSE);
            fleet
                .with_upstream("ordering-a-1", |upstream| upstream.thaw())
                .unwrap();
        })
        .check_trace()
        .check_every_key_is_served();
}

#[test]
fn vm_paused_for_less_than_its_lease() {
    Scenario::start()
        .under_load(LOAD)
        .during_load(|scenario| {
            scenario.fleet.freeze("ordering-a-1").unwrap();
            sleep(SHORT_PAUSE);
            scenario.fleet.thaw("ordering-a-1").unwrap();
        })
        .check_trace()
        .check_every_key_is_served();
}
