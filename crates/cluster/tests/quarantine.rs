//! Treatment of requests that were running while upstreams crashed.

mod support;

use cluster::Body;
use cluster::Fleet;
use cluster::QUARANTINE_MS;
use cluster::QuarantineState;
use support::Log;

/// Time of the first crash, in milliseconds since the Unix epoch.
const FIRST_MS: u64 = 1_000_000_000;

const SECOND_MS: u64 = 1_000;

fn crash(log: &mut Log, at_ms: u64, instance: &str, alone: bool) {
    log.append_applied(Body::Quarantine {
        alone,
        expires_unix_ms: at_ms + QUARANTINE_MS,
        fingerprint: "f".to_owned(),
        upstream_instance: instance.to_owned(),
        vm: "vm-000".to_owned(),
        workspace: "acme".to_owned(),
    });
}

fn state(fleet: &Fleet, at_ms: u64) -> Option<QuarantineState> {
    fleet.quarantine()["f"].state_at(at_ms)
}

// Guards against the refusal of a request that many callers send because several upstreams crashed together.
#[test]
fn crashes_of_one_incident_make_a_suspect() {
    let mut log = Log::with_members(8, &["a", "b"]);
    for (number, instance) in ["i-1", "i-2", "i-3"].into_iter().enumerate() {
        let at_ms = FIRST_MS + number as u64 * SECOND_MS / 2;
        crash(&mut log, at_ms, instance, false);
        assert_eq!(state(&log.fleet, at_ms), Some(QuarantineState::Suspect));
    }
}

#[test]
fn a_request_is_refused_after_it_crashed_an_upstream_alone() {
    let mut log = Log::with_members(8, &["a", "b"]);
    crash(&mut log, FIRST_MS, "i-1", false);
    crash(&mut log, FIRST_MS + 1, "i-2", true);
    assert_eq!(
        state(&log.fleet, FIRST_MS + 1),
        Some(QuarantineState::Refused)
    );
}

#[test]
fn a_request_is_refused_if_upstreams_go_on_crashing_while_it_runs() {
    let mut log = Log::with_members(8, &["a", "b"]);
    crash(&mut log, FIRST_MS, "i-1", false);
    let later = FIRST_MS + 3 * SECOND_MS;
    crash(&mut log, later, "i-1", false);
    assert_eq!(state(&log.fleet, later), Some(QuarantineState::Suspect));
    crash(&mut log, later, "i-2", false);
    assert_eq!(state(&log.fleet, later), Some(QuarantineState::Refused));
}

// Guards against a wrong verdict that lasts until the entry ends.
#[test]
fn a_refused_request_is_a_suspect_again_after_a_while() {
    let mut log = Log::with_members(8, &["a", "b"]);
    crash(&mut log, FIRST_MS, "i-1", false);
    crash(&mut log, FIRST_MS, "i-2", true);
    let trial = FIRST_MS + 30 * SECOND_MS;
    assert_eq!(state(&log.fleet, trial - 1), Some(QuarantineState::Refused));
    assert_eq!(state(&log.fleet, trial), Some(QuarantineState::Suspect));
    crash(&mut log, trial, "i-3", true);
    assert_eq!(state(&log.fleet, trial), Some(QuarantineState::Refused));
    assert_eq!(state(&log.fleet, trial + QUARANTINE_MS), None);
}
