//! Records of another writer that are nested deeply or hold numbers and ports out of range.

mod support;

use cluster::Body;
use cluster::Outcome;
use cluster::Record;
use cluster::SnapshotReader;
use cluster::Suspicion;
use cluster::UnitFence;
use config::KeyHash;
use ids::Unit;
use serde_json::Value;
use serde_json::json;
use support::Log;
use support::join;
use support::plans;
use support::vm;

/// Depth at which a recursive parser without a limit exhausts its stack.
const DEPTH: usize = 100_000;

/// Texts of numbers that are out of some range.
const NUMBERS: [&str; 8] = [
    "-1",
    "4294967295",
    "4294967296",
    "9223372036854775807",
    "18446744073709551615",
    "18446744073709551616",
    "1e308",
    "1e999",
];

/// Returns a valid record of each kind, based on the state of `log`.
fn bodies(log: &Log) -> Vec<Body> {
    let me = vm(0);
    let incarnation = log.incarnation(&me);
    let other = vm(1);
    let units = log.fleet.units_of(&me);
    let units: Vec<UnitFence> = units
        .map(|(unit, owner)| UnitFence {
            fence: owner.fence,
            unit: unit.clone(),
        })
        .collect();
    let mut services = units.iter().filter_map(|owned| match &owned.unit {
        Unit::Shard { service, .. } => Some(service.clone()),
        Unit::Bucket { .. } | Unit::Pinned { .. } => None,
    });
    let service = services.next().expect("the member owns a shard");
    vec![
        Body::Zone {
            base: 0,
            out: true,
            position: 7,
            zone: "z-9".to_owned(),
        },
        Body::Upstream {
            base: 0,
            drained: true,
            vm: other.clone(),
        },
        Body::Rewitness {
            base: log.fleet.members()[&me].witnesses_since,
            incarnation,
            vm: me.clone(),
        },
        Body::Suspect {
            incarnation,
            suspicions: vec![Suspicion {
                incarnation: log.incarnation(&other),
                last_renewed_ago_ms: 5,
                vm: other.clone(),
            }],
            vm: me.clone(),
        },
        Body::Quarantine {
            alone: true,
            expires_unix_ms: 5,
            fingerprint: "f".to_owned(),
            upstream_instance: "i".to_owned(),
            vm: me.clone(),
            workspace: "acme".to_owned(),
        },
        Body::SnapshotChunk {
            data: "x".to_owned(),
            part: 0,
            parts: 1,
            through: 3,
        },
        Body::Part {
            data: "x".to_owned(),
            part: 0,
            parts: 2,
        },
        Body::Pin {
            incarnation,
            key: "k".to_owned(),
            service: service.clone(),
            vm: me.clone(),
        },
        Body::Unpin {
            incarnation,
            key: "k".to_owned(),
            service,
            vm: me.clone(),
        },
        Body::IssueKey {
            hash: KeyHash::of("k"),
            workspace: "acme".to_owned(),
        },
        Body::WithdrawKey {
            hash: KeyHash::of("k"),
        },
        Body::ClearQuarantine {
            fingerprint: "f".to_owned(),
        },
        Body::Move {
            from: me.clone(),
            handovers: Default::default(),
            incarnation,
            to: other.clone(),
            to_incarnation: log.incarnation(&other),
            units,
        },
        plans(16),
        join(7, "z-1"),
        Body::DeclareLost {
            incarnation: log.incarnation(&other),
            vm: other,
        },
        Body::Leave {
            incarnation,
            vm: me,
        },
    ]
}

/// Returns the text of `value` once for each of its values, with that value replaced by each of `texts`.
fn replaced(value: &Value, texts: &[String], only_numbers: bool) -> Vec<String> {
    const MARK: &str = "replace-here";
    let mut marked = Vec::new();
    mark(value, only_numbers, &mut |changed| marked.push(changed));
    let quoted = format!("\"{MARK}\"");
    let marked = marked.iter().map(Value::to_string);
    marked
        .flat_map(|text| texts.iter().map(move |odd| (text.clone(), odd)))
        .map(|(text, odd)| text.replace(&quoted, odd))
        .collect()
}

/// Calls `found` with a copy of `value` for each value in it, in which that value is replaced by a mark.
fn mark(value: &Value, only_numbers: bool, found: &mut dyn FnMut(Value)) {
    if !only_numbers || value.is_number() {
        found(json!("replace-here"));
    }
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                mark(field, only_numbers, &mut |changed| {
                    let mut fields = fields.clone();
                    fields.insert(name.clone(), changed);
                    found(Value::Object(fields));
                });
            }
        }
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                mark(item, only_numbers, &mut |changed| {
                    let mut items = items.clone();
                    items[index] = changed;
                    found(Value::Array(items));
                });
            }
        }
        _ => {}
    }
}

/// Returns each valid record with one of its values replaced.
fn odd_records(log: &Log) -> Vec<String> {
    let numbers = NUMBERS.map(str::to_owned);
    let nested = [
        format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH)),
        "[".repeat(DEPTH),
        format!("{}1{}", "{\"a\":".repeat(DEPTH), "}".repeat(DEPTH)),
    ];
    let ports = ["\"10.0.0.1:65536\"", "\"10.0.0.1:-1\"", "\"10.0.0.1\""].map(str::to_owned);
    let mut odd = Vec::new();
    for body in bodies(log) {
        let record = Record {
            body,
            id: "odd".to_owned(),
            writer: "other".to_owned(),
        };
        let value = serde_json::to_value(record).unwrap();
        odd.extend(replaced(&value, &numbers, true));
        odd.extend(replaced(&value, &nested, false));
        odd.extend(replaced(&value, &ports, false));
    }
    odd
}

// LOST: processes that read one odd entry of another writer ended, or stopped following the list.
#[test]
fn an_odd_record_neither_ends_the_fold_nor_stops_it() {
    let log = Log::with_members(8, &["z-1", "z-2", "z-3"]);
    let next = log.fleet.next_offset();
    for text in odd_records(&log) {
        let mut fleet = log.fleet.clone();
        fleet.apply(next, text.as_bytes());
        assert_eq!(fleet.next_offset(), next + 1);
        let since_snapshot = fleet.records_since_snapshot();
        assert!(since_snapshot <= next, "{:.300}", text);
        let joined = log.record("a-join", join(8, "z-2"));
        let outcome = fleet.apply(next + 1, &joined);
        assert!(matches!(outcome, Outcome::Applied(_)), "{outcome:?}");
        let mut reader = SnapshotReader::default();
        let bodies = (next + 2..).zip(fleet.snapshot_bodies());
        let restored = bodies.filter_map(|(offset, body)| {
            let chunk = log.record("chunk", body);
            reader
                .add(offset, &chunk)
                .expect("the snapshot can be read")
        });
        assert_eq!(restored.last().as_ref(), Some(&fleet), "{:.300}", text);
    }
}
