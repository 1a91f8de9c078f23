//! Records that a process pulls from peers while it cannot read the log.

mod support;

use std::time::Duration;

use membership::Event;
use support::agent;

/// Time of all events.
const NOW: Duration = Duration::from_secs(5);

/// Returns the answer to a pull with one record out of a log that ends before `next`.
fn pulled_record(offset: u64, next: u64) -> Event {
    Event::PeerRecords {
        next,
        peer: "vm-2".to_owned(),
        records: vec![(offset, "a record of another version".to_owned())],
    }
}

#[test]
fn a_process_that_has_pulled_a_part_of_the_log_only_is_not_informed() {
    let mut agent = agent();
    agent.handle(NOW, pulled_record(1, 3));
    assert!(!agent.is_informed(NOW));
    agent.handle(NOW, pulled_record(2, 3));
    assert!(agent.is_informed(NOW));
}

#[test]
fn a_process_that_searches_a_snapshot_is_not_informed() {
    let mut agent = agent();
    agent.handle(NOW, Event::RecordsExpired { first: 10 });
    agent.handle(NOW, pulled_record(10, 11));
    assert!(!agent.is_informed(NOW));
}
