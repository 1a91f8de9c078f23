//! Checks that the request memory of a home runs each request at most once and repeats its answer.

mod keyed;

use std::time::Duration;

use keyed::Memory;
use keyed::START_UNIX_MS;
use keyed::key;
use keyed::memory;
use keyed::request;
use keyed::unit;
use policy::BeginDecision;
use policy::IdempotencyKey;
use policy::MemoryBounds;
use policy::NewRequest;
use policy::Outcome;
use policy::StatusReply;
use policy::absent_outcome;

#[test]
fn decisions_about_repeated_requests() {
    let mut memory = memory(MemoryBounds::default());
    let second = Duration::from_secs(1);
    let unix_ms = START_UNIX_MS + 1_000;
    let first = key(START_UNIX_MS, 1);
    let mut log = Vec::new();
    let mut begin = |memory: &mut Memory, id: &str, key: Option<&IdempotencyKey>, content| {
        let begin = memory.begin(second, unix_ms, request(id, key.cloned(), content));
        log.push(format!("begin {id}: {begin:?}"));
    };
    begin(&mut memory, "r1", Some(&first), "one");
    begin(&mut memory, "r1", Some(&first), "one");
    begin(&mut memory, "r2", Some(&first), "one");
    begin(&mut memory, "r3", Some(&first), "other");
    begin(&mut memory, "r4", None, "one");
    assert_eq!(memory.query_or_bar(second, "r1"), StatusReply::Running);
    let waiting = memory.record_answer(second, "r1", "done".to_owned(), 4);
    assert_eq!(waiting, ["r1", "r2"]);
    begin(&mut memory, "r2", Some(&first), "one");
    begin(&mut memory, "r5", Some(&first), "one");
    assert_eq!(
        memory.query_or_bar(second, "r1"),
        StatusReply::Answered("done".to_owned())
    );
    memory.acknowledge("r1");
    memory.acknowledge("r2");
    begin(&mut memory, "r6", Some(&first), "one");
    assert_eq!(memory.query_or_bar(second, "r7"), StatusReply::Barred);
    begin(&mut memory, "r7", None, "one");
    memory.record_lost(second, "r4");
    assert_eq!(memory.query_or_bar(second, "r4"), StatusReply::Lost);
    begin(&mut memory, "r4", None, "one");
    begin(
        &mut memory,
        "r8",
        Some(&key(START_UNIX_MS + 9_000, 2)),
        "future",
    );
    begin(
        &mut memory,
        "r9",
        Some(&key(START_UNIX_MS - 599_000, 3)),
        "old",
    );
    let third = key(START_UNIX_MS, 4);
    begin(&mut memory, "r10", Some(&third), "one");
    assert_eq!(memory.record_not_run("r10"), ["r10"]);
    begin(&mut memory, "r11", Some(&third), "one");
    insta::assert_snapshot!(log.join("\n"));
}

#[test]
fn an_idempotent_request_without_a_key_runs_again_after_its_run_was_lost() {
    let mut memory = memory(MemoryBounds::default());
    let second = Duration::from_secs(1);
    let begin = |memory: &mut Memory, key: Option<IdempotencyKey>, idempotent| {
        let request = NewRequest {
            idempotent,
            ..request("r1", key, "one")
        };
        memory.begin(second, START_UNIX_MS, request)
    };
    assert_eq!(begin(&mut memory, None, true), BeginDecision::Run);
    let first = "r1".to_owned();
    let running = BeginDecision::AlreadyRunning { first };
    assert_eq!(begin(&mut memory, None, true), running);
    memory.record_lost(second, "r1");
    assert_eq!(begin(&mut memory, None, false), BeginDecision::Unknown);
    let key = key(START_UNIX_MS, 1);
    assert_eq!(begin(&mut memory, Some(key), true), BeginDecision::Unknown);
    assert_eq!(begin(&mut memory, None, true), BeginDecision::Run);
    memory.record_answer(second, "r1", "done".to_owned(), 4);
    let answered = BeginDecision::Answered("done".to_owned());
    assert_eq!(begin(&mut memory, None, true), answered);
}

#[test]
fn keys_are_parsed_strictly() {
    let parse = |text: &str| IdempotencyKey::parse("north".to_owned(), text);
    assert_eq!(parse("b9c1"), None);
    assert_eq!(parse("5f0c3c0e-6a57-4c5e-9d5e-2f6a4f6f9a11"), None);
    assert_eq!(
        key(START_UNIX_MS + 5, 1).created_unix_ms(),
        START_UNIX_MS + 5
    );
}

#[test]
fn keys_from_clocks_ahead_are_accepted_after_a_wait() {
    let mut memory = memory(MemoryBounds::default());
    let ahead = key(START_UNIX_MS + 2_000, 1);
    let wait = memory.time_until_valid(START_UNIX_MS, &ahead);
    assert_eq!(wait, Duration::from_millis(1_500));
    let mut begin = |after_ms| {
        let request = request("r1", Some(ahead.clone()), "");
        memory.begin(
            Duration::from_millis(after_ms),
            START_UNIX_MS + after_ms,
            request,
        )
    };
    assert_eq!(
        (begin(1_499), begin(1_500)),
        (BeginDecision::BadKey, BeginDecision::Run)
    );
}

#[test]
fn acknowledged_answers_are_removed_and_keys_are_kept_until_they_expire() {
    let bounds = MemoryBounds::default();
    let mut memory = memory(bounds);
    let empty = memory.bytes();
    let now = Duration::from_secs(1);
    let first = key(START_UNIX_MS, 1);
    memory.begin(now, START_UNIX_MS, request("plain", None, ""));
    memory.begin(
        now,
        START_UNIX_MS,
        request("keyed", Some(first.clone()), ""),
    );
    memory.record_answer(now, "plain", "x".repeat(1_000), 1_000);
    memory.record_answer(now, "keyed", "y".repeat(1_000), 1_000);
    memory.acknowledge("plain");
    memory.acknowledge("keyed");
    assert_eq!(memory.count(), 1);
    let before_expiry = now + bounds.keep_key - Duration::from_millis(1);
    let repeated = memory.begin(
        before_expiry,
        START_UNIX_MS,
        request("again", Some(first), ""),
    );
    assert!(matches!(repeated, BeginDecision::Answered(_)));
    memory.expire(now + bounds.keep_key);
    assert_eq!((memory.count(), memory.bytes()), (0, empty));
}

#[test]
fn full_memory_refuses_new_requests_and_forgets_none() {
    let bounds = MemoryBounds {
        count: 16,
        ..MemoryBounds::default()
    };
    let mut memory = memory(bounds);
    let now = Duration::from_secs(1);
    let run = |memory: &mut Memory, number: u64| {
        let request = request(&format!("r{number}"), Some(key(START_UNIX_MS, number)), "");
        memory.begin(now, START_UNIX_MS, request)
    };
    let began = (0..20)
        .filter(|number| run(&mut memory, *number) == BeginDecision::Run)
        .count();
    assert_eq!(began, 14);
    for number in 0..14 {
        memory.record_answer(now, &format!("r{number}"), number.to_string(), 1);
    }
    assert_eq!(run(&mut memory, 15), BeginDecision::Full);
    let barred = (0..20).filter(|number| {
        memory.query_or_bar(now, &format!("unseen{number}")) == StatusReply::Barred
    });
    assert_eq!(barred.count(), 2);
    for number in 0..14 {
        assert_eq!(
            run(&mut memory, number),
            BeginDecision::Answered(number.to_string())
        );
    }
}

#[test]
fn memory_at_its_byte_limit_refuses_new_requests() {
    let bounds = MemoryBounds {
        bytes: 10_000,
        ..MemoryBounds::default()
    };
    let mut memory = memory(bounds);
    let now = Duration::from_secs(1);
    memory.begin(now, START_UNIX_MS, request("r1", None, ""));
    memory.record_answer(now, "r1", String::new(), 20_000);
    let refused = memory.begin(now, START_UNIX_MS, request("r2", None, ""));
    memory.acknowledge("r1");
    let accepted = memory.begin(now, START_UNIX_MS, request("r2", None, ""));
    assert_eq!(
        (refused, accepted),
        (BeginDecision::Full, BeginDecision::Run)
    );
}

/// Guards against requests that ran and are called not run, because their home owned the unit again in the meantime.
#[test]
fn requests_stay_known_when_their_unit_is_owned_again() {
    let bounds = MemoryBounds::default();
    let now = Duration::from_secs(1);
    let mut memory = memory(bounds);
    for id in ["running", "answered", "lost"] {
        memory.begin(now, START_UNIX_MS, request(id, None, ""));
    }
    memory.record_answer(now, "answered", "done".to_owned(), 4);
    memory.record_lost(now, "lost");
    let mut next_owner = Memory::new(bounds, START_UNIX_MS);
    next_owner.import(now, &unit(), memory.export(now, &unit()));
    memory.add_unit(unit(), START_UNIX_MS + 1_000);
    memory.import(now, &unit(), next_owner.export(now, &unit()));
    let statuses = ["running", "answered", "lost"].map(|id| memory.query_or_bar(now, id));
    let answered = StatusReply::Answered("done".to_owned());
    assert_eq!(
        statuses,
        [StatusReply::Running, answered.clone(), StatusReply::Lost]
    );
    memory.import(
        now,
        &unit(),
        Memory::new(bounds, START_UNIX_MS).export(now, &unit()),
    );
    assert_eq!(memory.query_or_bar(now, "answered"), answered);
    memory.record_answer(now, "running", "late".to_owned(), 4);
    assert_eq!(
        memory.query_or_bar(now, "running"),
        StatusReply::Answered("late".to_owned())
    );
}

/// Guards against a repetition of a key that is no longer known under the ids that wait for its run.
#[test]
fn ids_that_wait_for_a_run_are_kept_with_an_imported_record_of_its_key() {
    let bounds = MemoryBounds::default();
    let now = Duration::from_secs(1);
    let unix_ms = START_UNIX_MS + 1_000;
    let first = key(START_UNIX_MS, 1);
    let mut memory = memory(bounds);
    memory.begin(now, unix_ms, request("r1", Some(first.clone()), "one"));
    let exported = memory.export(now, &unit());
    memory.begin(now, unix_ms, request("r2", Some(first.clone()), "one"));
    memory.import(now, &unit(), exported);
    let repeated = memory.begin(now, unix_ms, request("r3", Some(first), "one"));
    let running = BeginDecision::AlreadyRunning {
        first: "r1".to_owned(),
    };
    assert_eq!(repeated, running);
    let waiting = memory.record_answer(now, "r1", "done".to_owned(), 4);
    assert_eq!(waiting, ["r1", "r2", "r3"]);
}

/// Guards against requests that ran and are called not run, because their record has expired.
#[test]
fn a_request_that_may_have_been_forgotten_is_not_called_not_run() {
    let remembered_for = memory(MemoryBounds::default()).remembered_for();
    for (run_ms, query_ms) in [
        (0, 0),
        (0, 9_999),
        (0, 10_000),
        (900, 10_500),
        (900, 60_000),
    ] {
        let mut memory = memory(MemoryBounds::default());
        let (ended, queried) = (
            Duration::from_millis(run_ms),
            Duration::from_millis(query_ms),
        );
        memory.begin(Duration::ZERO, START_UNIX_MS, request("ran", None, ""));
        memory.record_answer(ended, "ran", "done".to_owned(), 4);
        memory.expire(queried);
        if memory.query_or_bar(queried, "ran") == StatusReply::Barred {
            assert_eq!(absent_outcome(queried, remembered_for), Outcome::Unknown);
        }
        assert_eq!(
            memory.query_or_bar(queried, "never-seen"),
            StatusReply::Barred
        );
    }
    let recent = remembered_for - Duration::from_millis(1);
    assert_eq!(absent_outcome(recent, remembered_for), Outcome::NotRun);
}
