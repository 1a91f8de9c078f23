//! Time until which requests may be started in a zone that was taken out of service.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use cluster::Body;
use cluster::Record;
use membership::Agent;
use membership::Event;
use membership::OperatorDeclarations;
use support::agent;

/// Time after which nothing is started any more, less the margin.
const OPEN_TIME: Duration = Duration::from_millis(4_500);

/// Longest time by which a read that waited returns a change.
const NOTICE_TIME: Duration = Duration::from_secs(2);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Reads declarations at second `at`, which are passed on afterwards.
fn complete_read(agent: &mut Agent, at: u64, has_waited: bool) {
    let read = Event::DeclarationsRead {
        duration: Duration::ZERO,
        has_waited,
        position: at,
    };
    agent.handle(seconds(at), read);
}

/// Reads declarations at second `at`, in which the zone of the process is out of service or not.
fn read(agent: &mut Agent, at: u64, has_waited: bool, is_out: bool) {
    complete_read(agent, at, has_waited);
    let zones_out: BTreeSet<_> = is_out.then(|| "z".to_owned()).into_iter().collect();
    let declared = OperatorDeclarations {
        position: at,
        zones_out,
        ..OperatorDeclarations::default()
    };
    agent.handle(seconds(at), Event::Declared(declared));
}

/// Reads from the log that the zone is out of service.
fn read_zone_record(agent: &mut Agent, at: u64) {
    let record = Record {
        body: Body::Zone {
            base: 0,
            out: true,
            position: at,
            zone: "z".to_owned(),
        },
        id: "record-1".to_owned(),
        writer: "vm-2".to_owned(),
    };
    let records = vec![(1, serde_json::to_string(&record).unwrap())];
    agent.handle(seconds(at), Event::Records { next: 2, records });
}

#[test]
fn an_evacuation_that_a_waiting_read_returns_has_just_begun() {
    let mut agent = agent();
    read(&mut agent, 1, false, false);
    assert_eq!(agent.starts_until(), None);
    read(&mut agent, 20, true, true);
    let expected = seconds(20) - NOTICE_TIME + OPEN_TIME;
    assert_eq!(agent.starts_until(), Some(expected));
    read(&mut agent, 22, true, true);
    assert_eq!(agent.starts_until(), Some(expected));
}

// A read that waits while the store drops its history fails without telling what was written meanwhile.
#[test]
fn an_evacuation_that_is_read_after_a_failure_may_have_begun_at_the_last_read() {
    let mut agent = agent();
    read(&mut agent, 1, false, false);
    read(&mut agent, 9, true, false);
    read(&mut agent, 12, false, true);
    assert_eq!(agent.starts_until(), Some(seconds(9) + OPEN_TIME));
}

#[test]
fn a_process_that_starts_in_an_evacuated_zone_starts_nothing() {
    let mut declared = agent();
    read(&mut declared, 1, false, true);
    assert_eq!(declared.starts_until(), Some(Duration::ZERO));
    let mut recorded = agent();
    read_zone_record(&mut recorded, 1);
    assert_eq!(recorded.starts_until(), Some(Duration::ZERO));
}

// A restarted home ran requests if the log told it of the evacuation before its first declarations were passed on.
#[test]
fn a_process_starts_nothing_while_its_first_declarations_are_passed_on() {
    let mut agent = agent();
    complete_read(&mut agent, 1, false);
    read_zone_record(&mut agent, 1);
    assert_eq!(agent.starts_until(), Some(Duration::ZERO));
}

#[test]
fn an_evacuation_that_only_the_log_tells_may_have_begun_at_the_last_read_of_declarations() {
    let mut agent = agent();
    read(&mut agent, 1, false, false);
    read(&mut agent, 3, true, false);
    read_zone_record(&mut agent, 7);
    assert_eq!(agent.starts_until(), Some(seconds(3) + OPEN_TIME));
}

#[test]
fn an_evacuation_without_declarations_has_begun_when_the_log_returns_it() {
    let mut agent = agent();
    agent.handle(seconds(1), Event::LogIdle);
    read_zone_record(&mut agent, 9);
    let expected = seconds(9) - NOTICE_TIME + OPEN_TIME;
    assert_eq!(agent.starts_until(), Some(expected));
}

#[test]
fn a_zone_that_returns_is_open_at_once_and_each_evacuation_has_its_own_time() {
    let mut agent = agent();
    read(&mut agent, 1, false, false);
    read(&mut agent, 20, true, true);
    read(&mut agent, 30, true, false);
    assert_eq!(agent.starts_until(), None);
    read(&mut agent, 40, true, true);
    let expected = seconds(40) - NOTICE_TIME + OPEN_TIME;
    assert_eq!(agent.starts_until(), Some(expected));
}
