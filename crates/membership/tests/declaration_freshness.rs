//! Knowledge of where the declarations of operators end, of one process.

mod support;

use std::time::Duration;

use membership::Action;
use membership::Agent;
use membership::Event;
use membership::HeartbeatAnswer;
use membership::KnownDeclarations;
use support::agent;

/// Time of the first read.
const START: Duration = Duration::from_secs(5);

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(50);

/// Longest time without knowledge after which a process checks.
const CHECK_AGE: Duration = Duration::from_secs(2);

/// Time for which an outdated state of the declarations counts as known.
const KNOWN_TIME: Duration = Duration::from_secs(3);

fn read(agent: &mut Agent, at: Duration, position: u64) {
    let read = Event::DeclarationsRead {
        duration: Duration::ZERO,
        has_waited: true,
        position,
    };
    agent.handle(at, read);
}

fn check(agent: &mut Agent, at: Duration, position: u64) {
    let duration = Duration::ZERO;
    agent.handle(at, Event::DeclarationsChecked { duration, position });
}

/// Handles the answer of a witness that knows where the declarations ended just now.
fn hear_from_peer(agent: &mut Agent, at: Duration, position: u64) {
    let known = KnownDeclarations {
        age_ms: 0,
        position,
    };
    let answer = HeartbeatAnswer {
        contact: true,
        declarations: Some(known),
        incarnation: 1,
        next: 1,
        renewal: true,
        sequence: 1,
        witness: "vm-2".to_owned(),
        witness_incarnation: 2,
    };
    agent.handle(at, Event::HeartbeatAnswered(answer));
}

/// Returns the actions on declarations in the ticks from `start` on, until `end`.
fn actions_on_reads(agent: &mut Agent, start: Duration, end: Duration) -> Vec<Action> {
    let mut actions = Vec::new();
    let mut now = start;
    while now < end {
        now += TICK;
        actions.extend(agent.handle(now, Event::Tick));
    }
    actions.retain(|action| {
        matches!(
            action,
            Action::CheckDeclarations | Action::RepeatDeclarationReads
        )
    });
    actions
}

#[test]
fn a_process_without_recent_knowledge_checks_once_a_second() {
    let mut agent = agent();
    read(&mut agent, START, 7);
    let start = START + CHECK_AGE;
    let first = actions_on_reads(&mut agent, START, start);
    assert!(!first.is_empty());
    let later = start + Duration::from_secs(3);
    let checks = actions_on_reads(&mut agent, start, later);
    assert_eq!(checks, vec![Action::CheckDeclarations; 3]);
}

#[test]
fn knowledge_of_a_peer_spares_the_check() {
    let mut agent = agent();
    read(&mut agent, START, 7);
    let interval = TICK * 18;
    for step in 0..10 {
        let now = START + interval * step;
        hear_from_peer(&mut agent, now, 7);
        assert_eq!(actions_on_reads(&mut agent, now, now + interval), []);
    }
}

#[test]
fn a_read_that_lacks_a_declaration_is_repeated() {
    let limit = Duration::from_millis(500);
    for learn in [check, hear_from_peer] {
        let mut agent = agent();
        read(&mut agent, START, 7);
        learn(&mut agent, START, 8);
        let actions = actions_on_reads(&mut agent, START, START + limit);
        assert_eq!(actions, [Action::RepeatDeclarationReads]);
    }
}

#[test]
fn a_read_that_returns_a_declaration_late_but_in_time_is_not_repeated() {
    let mut agent = agent();
    read(&mut agent, START, 7);
    check(&mut agent, START, 8);
    let later = START + TICK * 2;
    assert_eq!(actions_on_reads(&mut agent, START, later), []);
    read(&mut agent, later, 8);
    let end = later + Duration::from_millis(500);
    assert_eq!(actions_on_reads(&mut agent, later, end), []);
}

#[test]
fn a_process_that_reads_no_declarations_checks_none() {
    let mut agent = agent();
    hear_from_peer(&mut agent, START, 7);
    let end = START + Duration::from_secs(10);
    assert_eq!(actions_on_reads(&mut agent, START, end), []);
}

#[test]
fn nothing_counts_as_absent_from_declarations_of_long_ago() {
    let mut agent = agent();
    let until = START + KNOWN_TIME;
    for now in [START, until, until + TICK] {
        agent.handle(now, Event::LogIdle);
    }
    assert!(agent.is_up_to_date(until + TICK));
    read(&mut agent, START, 7);
    assert!(agent.is_up_to_date(until));
    assert!(!agent.is_up_to_date(until + TICK));
    read(&mut agent, until, 7);
    assert!(agent.is_up_to_date(until + TICK));
    check(&mut agent, until, 8);
    assert!(!agent.is_up_to_date(until + TICK));
}
