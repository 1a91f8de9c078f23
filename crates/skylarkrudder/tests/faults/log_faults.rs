//! Faults of the platform's log.

use std::thread::sleep;
use std::time::Duration;

use standin::LogFaults;

use crate::scenario::Scenario;

const LOAD: Duration = Duration::from_secs(12);
const OUTAGE: Duration = Duration::from_secs(6);

/// Runs `action` and waits for [`OUTAGE`] while the log has `faults`.
fn with_log_faults(scenario: &Scenario, faults: &LogFaults, action: impl FnOnce(&Scenario)) {
    let log = scenario.fleet.log();
    log.set_faults(faults).unwrap();
    action(scenario);
    sleep(OUTAGE);
    log.set_faults(&LogFaults::default()).unwrap();
}

fn log_down() -> LogFaults {
    LogFaults {
        down: true,
        ..LogFaults::default()
    }
}

#[test]
fn log_down_while_all_owners_live() {
    Scenario::start()
        .under_load(LOAD)
        .during_load(|scenario| with_log_faults(scenario, &log_down(), |_| {}))
        .check_trace()
        .check_all_requests_are_answered();
}

#[test]
fn log_that_never_answers() {
    let silent = LogFaults {
        silent: true,
        ..LogFaults::default()
    };
    Scenario::start()
        .under_load(LOAD)
        .during_load(|scenario| with_log_faults(scenario, &silent, |_| {}))
        .check_trace()
        .check_all_requests_are_answered();
}

#[test]
fn log_that_is_slow() {
    let slow = LogFaults {
        slow_ms: 800,
        ..LogFaults::default()
    };
    Scenario::start()
        .under_load(LOAD)
        .during_load(|scenario| {
            with_log_faults(scenario, &slow, |scenario| {
                scenario.fleet.kill("ordering-b-1").unwrap()
            })
        })
        .check_trace()
        .check_every_key_is_served();
}

#[test]
fn lost_vm_while_the_log_is_down() {
    Scenario::start()
        .under_load(LOAD)
        .during_load(|scenario| {
            with_log_faults(scenario, &log_down(), |scenario| {
                scenario.fleet.kill("ordering-a-1").unwrap()
            })
        })
        .check_trace()
        .check_every_key_is_served();
}

#[test]
fn lost_answers_of_appends_during_a_loss_and_a_stop() {
    let lost = LogFaults {
        lose_answers: true,
        ..LogFaults::default()
    };
    Scenario::start()
        .under_load(LOAD)
        .during_load(|scenario| {
            with_log_faults(scenario, &lost, |scenario| {
                scenario.fleet.kill("ordering-a-1").unwrap();
                scenario.fleet.terminate("ordering-b-1").unwrap();
            });
        })
        .check_trace()
        .check_every_key_is_served();
}
