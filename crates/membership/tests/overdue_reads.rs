//! Reads of the log that did not return records which it is known to hold.

mod support;

use std::time::Duration;

use membership::Action;
use membership::Agent;
use membership::Event;
use membership::HeartbeatAnswer;
use support::agent;

/// Time of the first event.
const START: Duration = Duration::from_secs(5);

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(50);

/// Number of ticks, far more than it takes to find a read overdue.
const TICKS: u32 = 20;

/// Returns the answer of a witness that has read all records before `next`.
fn answer(next: u64) -> Event {
    Event::HeartbeatAnswered(HeartbeatAnswer {
        contact: true,
        declarations: None,
        incarnation: 1,
        next,
        renewal: true,
        sequence: 1,
        witness: "vm-2".to_owned(),
        witness_incarnation: 2,
    })
}

fn record(offset: u64) -> Event {
    Event::Records {
        next: offset + 1,
        records: vec![(offset, "a record of another version".to_owned())],
    }
}

/// Counts the times at which reads are ended in the ticks after `start`.
fn count_ended_reads(agent: &mut Agent, start: Duration) -> usize {
    let ticks = (1..=TICKS).map(|tick| start + TICK * tick);
    let actions: Vec<Action> = ticks
        .flat_map(|now| agent.handle(now, Event::Tick))
        .collect();
    let ended = |action: &&Action| matches!(action, Action::EndOverdueReads { .. });
    actions.iter().filter(ended).count()
}

#[test]
fn reads_that_miss_records_which_a_peer_has_read_are_ended() {
    let mut agent = agent();
    agent.handle(START, record(1));
    agent.handle(START, answer(3));
    assert!(count_ended_reads(&mut agent, START) > 0);
    agent.handle(START + TICK * TICKS, record(2));
    assert_eq!(count_ended_reads(&mut agent, START + TICK * TICKS), 0);
}

#[test]
fn reads_are_not_ended_while_no_record_is_missing() {
    let mut agent = agent();
    agent.handle(START, record(1));
    agent.handle(START, answer(2));
    agent.handle(START, Event::Appended);
    assert_eq!(count_ended_reads(&mut agent, START), 0);
}

#[test]
fn a_read_that_returns_a_record_late_but_in_time_is_not_ended() {
    let mut agent = agent();
    agent.handle(START, record(1));
    agent.handle(START, answer(3));
    agent.handle(START + TICK, Event::Tick);
    agent.handle(START + TICK * 2, record(2));
    assert_eq!(count_ended_reads(&mut agent, START + TICK * 2), 0);
}
