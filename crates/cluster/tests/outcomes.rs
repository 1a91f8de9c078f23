//! Outcomes of each kind of record.

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

/// A log whose outcomes are noted.
#[derive(Default)]
struct Noted {
    lines: Vec<String>,
    log: Log,
}

impl Noted {
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
    let mut noted = Noted::default();
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
    let unhashed = serde_json::from_str("\"secret\"").expect("any text is read");
    noted.append("workspaces before plans", workspaces(&["acme"]));
    noted.append("plans", plans_with(0, 2));
    noted.append("plans on an old base", plans_with(0, 2));
    noted.append("plans with other shards", plans_with(2, 4));
    noted.append("workspaces", workspaces(&["acme"]));
    noted.append("key of an unknown workspace", issue("other"));
    noted.append("key", issue("acme"));
    noted.append("key, again", issue("acme"));
    noted.append("plain key", Body::WithdrawKey { hash: unhashed });
    noted.append("withdrawal", Body::WithdrawKey { hash: hash() });
    noted.append("withdrawn key", issue("acme"));
    noted.append("zone out", zone(0, true));
    noted.append("zone in on an old base", zone(0, false));
    noted.append("member in the zone that is out", join(0, "a"));
    noted.append("drain", upstream(0, true));
    noted.append("zone in", zone(12, false));
    noted.append("return", upstream(15, false));
    assert_eq!(noted.log.fleet.config_version(), 17);
    assert_eq!(noted.log.fleet.workspace_of(&hash()), None);
    insta::assert_snapshot!(noted.text());
}

#[test]
fn a_key_that_a_later_reader_accepted_is_not_taken_as_withdrawn() {
    let mut noted = Noted::default();
    let hash = KeyHash::of("secret");
    let issue = Body::IssueKey {
        workspace: "acme".to_owned(),
        hash: hash.clone(),
    };
    noted.append("plans", plans_with(0, 2));
    noted.append("workspaces", workspaces(&["acme"]));
    let behind = noted.log.fleet.clone();
    noted.append("key", issue);
    let offset = noted.log.fleet.next();
    assert!(behind.accepts_key(hash.prefix(), offset));
    assert!(!behind.accepts_key(hash.prefix(), behind.next()));
    assert!(noted.log.fleet.accepts_key(hash.prefix(), offset));

    noted.append("withdrawal", Body::WithdrawKey { hash: hash.clone() });
    assert!(!noted.log.fleet.accepts_key(hash.prefix(), offset));
}

#[test]
fn members_and_units() {
    let mut noted = Noted {
        log: Log::with_members(2, &["a", "b", "c"]),
        ..Noted::default()
    };
    let outcome = noted.log.move_all("vm-000", "vm-001");
    noted.note("move", outcome);
    let stale = UnitFence {
        fence: 3,
        unit: noted
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
    noted.append(
        "move under an old fence",
        move_of("vm-000", 3, stale.clone()),
    );
    noted.append("move to an old life", move_of("vm-000", 2, stale));
    let outcome = noted.log.leave("vm-001");
    noted.note("leave", outcome);
    let leave = Body::Leave {
        vm: vm(1),
        incarnation: 4,
    };
    noted.append("leave, again", leave);
    noted.append("replacement at the same address", join(2, "c"));
    let declared = Body::DeclareLost {
        vm: vm(0),
        incarnation: 3,
    };
    noted.append("declared lost", declared);
    let declared = Body::DeclareLost {
        vm: vm(2),
        incarnation: 11,
    };
    noted.append("declared lost, nobody left", declared);
    noted.append("join", join(4, "a"));
    let mut odd = join(5, "");
    noted.append("join without a zone", odd.clone());
    if let Body::Join(join) = &mut odd {
        join.zone = "a".to_owned();
        join.slots = 0;
    }
    noted.append("join without slots", odd);
    insta::assert_snapshot!(noted.text());
}

#[test]
fn pins() {
    let mut noted = Noted {
        log: Log::with_members(2, &["a", "b"]),
        ..Noted::default()
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
    let pass = |from: usize, to: usize, fence| Body::Move {
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
    noted.append("unpin of a key without pin", unpin(0));
    noted.append("pin by another than the owner", pin(1, "ordering", "hot"));
    noted.append("pin of an unknown service", pin(0, "batch", "hot"));
    noted.append("pin of a long key", pin(0, "ordering", &"x".repeat(1_025)));
    noted.append("pin", pin(0, "ordering", "hot"));
    noted.append("pin, again", pin(0, "ordering", "hot"));
    noted.append("move of the pin", pass(0, 1, 9));
    noted.append("unpin by the owner of the pin", unpin(1));
    noted.append("unpin by the owner of the shard", unpin(0));
    noted.append("move back", pass(1, 0, 11));
    noted.append("unpin", unpin(0));
    insta::assert_snapshot!(noted.text());
}

#[test]
fn quarantine() {
    const HOUR_MS: u64 = 60 * 60 * 1_000;
    let mut noted = Noted::default();
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
    noted.append("crash", crash("i1", "red", false, HOUR_MS));
    noted.append("same crash", crash("i1", "red", false, HOUR_MS));
    noted.append("crash alone", crash("i1", "blue", true, 2 * HOUR_MS));
    noted.append("second crash", crash("i2", "red", false, 3 * HOUR_MS));
    let entry = &noted.log.fleet.quarantine()["red"];
    assert!(entry.state_at(3 * HOUR_MS - 1).is_some());
    assert_eq!(entry.state_at(3 * HOUR_MS), None);
    noted.append("a day later", crash("i3", "green", false, 26 * HOUR_MS));
    let entries: Vec<&String> = noted.log.fleet.quarantine().keys().collect();
    assert_eq!(entries, ["green", "red"]);
    noted.append("clear", clear());
    noted.append("clear, again", clear());
    insta::assert_snapshot!(noted.text());
}

#[test]
fn snapshots_and_repetitions() {
    let mut noted = Noted {
        log: Log::with_members(2, &["a"]),
        ..Noted::default()
    };
    let chunk = |through, part, parts| Body::SnapshotChunk {
        through,
        part,
        parts,
        data: "not part of the state".to_owned(),
    };
    noted.append("first part", chunk(3, 0, 2));
    noted.append("part out of range", chunk(3, 2, 2));
    noted.append("snapshot of the future", chunk(9, 0, 1));
    noted.append("second part", chunk(3, 1, 2));
    assert_eq!(noted.log.fleet.records_since_snapshot(), 4);
    let outcome = noted.log.append_as("record-1", join(0, "a"));
    noted.note("repetition", outcome);
    let outcome = noted
        .log
        .fleet
        .apply(9, b"{\"id\": \"odd\", \"writer\": \"x\"}");
    noted.note("without a body", outcome);
    let outcome = noted.log.fleet.apply(3, b"");
    noted.note("offset that is covered", outcome);
    assert_eq!(noted.log.fleet.snapshot_turn(), Some(&vm(0)));
    insta::assert_snapshot!(noted.text());
}

#[test]
fn an_id_is_remembered_for_the_repeat_window() {
    let mut fleet = Fleet::default();
    let record = |id: &str| {
        format!(
            r#"{{"id": "{id}", "writer": "x", "body": {{"type": "clear_quarantine", "fingerprint": "f"}}}}"#
        )
    };
    fleet.apply(1, record("first").as_bytes());
    let last = 1 + cluster::REPEAT_WINDOW;
    assert_eq!(
        fleet.apply(last, record("first").as_bytes()),
        Outcome::Repeated
    );
    assert_ne!(
        fleet.apply(last + 1, record("first").as_bytes()),
        Outcome::Repeated
    );
}
