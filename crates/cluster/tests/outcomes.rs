//! Outcomes of each type of record.

mod support;

use std::collections::BTreeMap;

use cluster::Body;
use cluster::Fleet;
use cluster::Outcome;
use cluster::UnitFence;
use config::KeyHash;
use ids::Unit;
use support::Log;
use support::join;
use support::plans_with;
use support::vm;
use support::workspaces;

/// Log with a transcript of the outcome of each record.
#[derive(Default)]
struct Transcript {
    lines: Vec<String>,
    log: Log,
}

impl Transcript {
    fn append(&mut self, label: &str, body: Body) {
        let outcome = self.log.append(body);
        self.note(label, outcome);
    }

    fn note(&mut self, label: &str, outcome: Outcome) {
        let offset = self.log.records.len();
        self.lines.push(format!("{offset} {label}"));
        match outcome {
            Outcome::Applied(changes) => {
                let changes = changes.iter().map(|change| format!("    {change:?}"));
                self.lines.extend(changes);
            }
            outcome => self.lines.push(format!("    {outcome:?}")),
        }
    }

    fn text(&self) -> String {
        self.lines.join("\n")
    }
}

fn key(service: &str, key: &str) -> Unit {
    Unit::Pinned {
        service: service.to_owned(),
        key: key.to_owned(),
    }
}

#[test]
fn configuration() {
    let mut transcript = Transcript::default();
    let hash = || KeyHash::of("secret");
    let issue = |workspace: &str| Body::IssueKey {
        workspace: workspace.to_owned(),
        hash: hash(),
    };
    let zone = |base, out| Body::Zone {
        zone: "a".to_owned(),
        out,
        base,
        position: 0,
    };
    let upstream = |base, drained| Body::Upstream {
        vm: vm(0),
        drained,
        base,
    };
    let malformed_hash = serde_json::from_str("\"secret\"").expect("any text is read");
    transcript.append("workspaces before plans", workspaces(&["acme"]));
    transcript.append("plans", plans_with(0, 2));
    transcript.append("plans on an old base", plans_with(0, 2));
    transcript.append("plans with other shards", plans_with(2, 4));
    transcript.append("workspaces", workspaces(&["acme"]));
    transcript.append("key of an unknown workspace", issue("other"));
    transcript.append("key", issue("acme"));
    transcript.append("key, again", issue("acme"));
    transcript.append(
        "key that is not a hash",
        Body::WithdrawKey {
            hash: malformed_hash,
        },
    );
    transcript.append("withdrawal", Body::WithdrawKey { hash: hash() });
    transcript.append("withdrawn key", issue("acme"));
    transcript.append("zone out", zone(0, true));
    transcript.append("zone in on an old base", zone(0, false));
    transcript.append("member in the zone that is out", join(0, "a"));
    transcript.append("drain", upstream(0, true));
    transcript.append("zone in", zone(12, false));
    transcript.append("return", upstream(15, false));
    assert_eq!(transcript.log.fleet.config_version(), 17);
    assert_eq!(transcript.log.fleet.workspace_of(&hash()), None);
    insta::assert_snapshot!(transcript.text());
}

#[test]
fn a_key_that_a_later_reader_accepted_is_not_taken_as_withdrawn() {
    let mut transcript = Transcript::default();
    let hash = KeyHash::of("secret");
    let issue = Body::IssueKey {
        workspace: "acme".to_owned(),
        hash: hash.clone(),
    };
    transcript.append("plans", plans_with(0, 2));
    transcript.append("workspaces", workspaces(&["acme"]));
    let behind = transcript.log.fleet.clone();
    transcript.append("key", issue);
    let offset = transcript.log.fleet.next_offset();
    assert!(behind.accepts_key(hash.prefix(), offset, 0));
    assert!(!behind.accepts_key(hash.prefix(), behind.next_offset(), 0));
    assert!(transcript.log.fleet.accepts_key(hash.prefix(), offset, 0));

    transcript.append("withdrawal", Body::WithdrawKey { hash: hash.clone() });
    assert!(!transcript.log.fleet.accepts_key(hash.prefix(), offset, 0));
}

#[test]
fn members_and_units() {
    let mut transcript = Transcript {
        log: Log::with_members(2, &["a", "b", "c"]),
        ..Transcript::default()
    };
    let outcome = transcript.log.move_all("vm-000", "vm-001");
    transcript.note("move", outcome);
    let stale = UnitFence {
        fence: 3,
        unit: transcript
            .log
            .fleet
            .owners()
            .keys()
            .next()
            .expect("units")
            .clone(),
    };
    let move_of = |to: &str, to_incarnation, unit| Body::Move {
        handovers: BTreeMap::new(),
        from: vm(1),
        incarnation: 4,
        to: to.to_owned(),
        to_incarnation,
        units: vec![unit],
    };
    transcript.append(
        "move under an old fence",
        move_of("vm-000", 3, stale.clone()),
    );
    transcript.append("move to an old incarnation", move_of("vm-000", 2, stale));
    let outcome = transcript.log.leave("vm-001");
    transcript.note("leave", outcome);
    let leave = Body::Leave {
        vm: vm(1),
        incarnation: 4,
    };
    transcript.append("leave, again", leave);
    transcript.append("replacement at the same address", join(2, "c"));
    let declared = Body::DeclareLost {
        vm: vm(0),
        incarnation: 3,
    };
    transcript.append("declared lost", declared);
    let declared = Body::DeclareLost {
        vm: vm(2),
        incarnation: 11,
    };
    transcript.append("declared lost, no member left", declared);
    transcript.append("join", join(4, "a"));
    let mut invalid = join(5, "");
    transcript.append("join without a zone", invalid.clone());
    if let Body::Join(join) = &mut invalid {
        join.zone = "a".to_owned();
        join.slots = 0;
    }
    transcript.append("join without slots", invalid);
    insta::assert_snapshot!(transcript.text());
}

#[test]
fn pins() {
    let mut transcript = Transcript {
        log: Log::with_members(2, &["a", "b"]),
        ..Transcript::default()
    };
    let pin = |index: usize, service: &str, key: &str| Body::Pin {
        vm: vm(index),
        incarnation: 3 + index as u64,
        service: service.to_owned(),
        key: key.to_owned(),
    };
    let unpin = |index: usize| Body::Unpin {
        vm: vm(index),
        incarnation: 3 + index as u64,
        service: "ordering".to_owned(),
        key: "hot".to_owned(),
    };
    let move_pin = |from: usize, to: usize, fence| Body::Move {
        handovers: BTreeMap::new(),
        from: vm(from),
        incarnation: 3 + from as u64,
        to: vm(to),
        to_incarnation: 3 + to as u64,
        units: vec![UnitFence {
            fence,
            unit: key("ordering", "hot"),
        }],
    };
    transcript.append("unpin of a key that is not pinned", unpin(0));
    transcript.append(
        "pin by a member that is not the owner",
        pin(1, "ordering", "hot"),
    );
    transcript.append("pin of an unknown service", pin(0, "batch", "hot"));
    transcript.append("pin of a long key", pin(0, "ordering", &"x".repeat(1_025)));
    transcript.append("pin", pin(0, "ordering", "hot"));
    transcript.append("pin, again", pin(0, "ordering", "hot"));
    transcript.append("move of the pin", move_pin(0, 1, 9));
    transcript.append("unpin by the owner of the pin", unpin(1));
    transcript.append("unpin by the owner of the shard", unpin(0));
    transcript.append("move back", move_pin(1, 0, 11));
    transcript.append("unpin", unpin(0));
    insta::assert_snapshot!(transcript.text());
}

#[test]
fn quarantine() {
    const HOUR_MS: u64 = 60 * 60 * 1_000;
    let mut transcript = Transcript::default();
    let crash = |instance: &str, fingerprint: &str, alone, expires_unix_ms| Body::Quarantine {
        vm: vm(0),
        upstream_instance: instance.to_owned(),
        fingerprint: fingerprint.to_owned(),
        workspace: "acme".to_owned(),
        alone,
        expires_unix_ms,
    };
    let clear = || Body::ClearQuarantine {
        fingerprint: "red".to_owned(),
    };
    transcript.append("crash", crash("i1", "red", false, HOUR_MS));
    transcript.append("same crash", crash("i1", "red", false, HOUR_MS));
    transcript.append("crash alone", crash("i1", "blue", true, 2 * HOUR_MS));
    transcript.append("second crash", crash("i2", "red", false, 3 * HOUR_MS));
    let entry = &transcript.log.fleet.quarantine()["red"];
    assert!(entry.state_at(3 * HOUR_MS - 1).is_some());
    assert_eq!(entry.state_at(3 * HOUR_MS), None);
    transcript.append("a day later", crash("i3", "green", false, 26 * HOUR_MS));
    let entries: Vec<&String> = transcript.log.fleet.quarantine().keys().collect();
    assert_eq!(entries, ["green", "red"]);
    transcript.append("clear", clear());
    transcript.append("clear, again", clear());
    insta::assert_snapshot!(transcript.text());
}

#[test]
fn snapshots_and_repetitions() {
    let mut transcript = Transcript {
        log: Log::with_members(2, &["a"]),
        ..Transcript::default()
    };
    let chunk = |through, part, parts| Body::SnapshotChunk {
        through,
        part,
        parts,
        data: "not part of the state".to_owned(),
    };
    transcript.append("first part", chunk(3, 0, 2));
    transcript.append("part out of range", chunk(3, 2, 2));
    transcript.append("snapshot through a later offset", chunk(9, 0, 1));
    transcript.append("second part", chunk(3, 1, 2));
    assert_eq!(transcript.log.fleet.records_since_snapshot(), 4);
    let outcome = transcript.log.append_as("record-1", join(0, "a"));
    transcript.note("repetition", outcome);
    let outcome = transcript
        .log
        .fleet
        .apply(9, b"{\"id\": \"odd\", \"writer\": \"x\"}");
    transcript.note("without a body", outcome);
    let outcome = transcript.log.fleet.apply(3, b"");
    transcript.note("offset that is covered", outcome);
    assert_eq!(transcript.log.fleet.next_snapshot_writer(), Some(&vm(0)));
    insta::assert_snapshot!(transcript.text());
}

#[test]
fn an_id_is_kept_for_the_deduplication_window() {
    let mut fleet = Fleet::default();
    let record = |id: &str| {
        format!(
            r#"{{"id": "{id}", "writer": "x", "body": {{"type": "clear_quarantine", "fingerprint": "f"}}}}"#
        )
    };
    fleet.apply(1, record("first").as_bytes());
    let last = 1 + cluster::DEDUPLICATION_WINDOW;
    assert_eq!(
        fleet.apply(last, record("first").as_bytes()),
        Outcome::Repeated
    );
    assert_ne!(
        fleet.apply(last + 1, record("first").as_bytes()),
        Outcome::Repeated
    );
}
