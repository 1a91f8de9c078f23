//! Records that are written in parts.

mod support;

use cluster::Body;
use cluster::Document;
use cluster::Fleet;
use cluster::Outcome;
use cluster::Record;
use cluster::SnapshotReader;
use config::Manifest;
use ids::Offset;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use support::Log;
use support::join;

const SEED: u64 = 38;

/// Maximum size of a record in these tests, in bytes.
const MAX_BYTES: usize = 300;

/// Number of offsets after the first part of a record within which the others must follow.
const MAX_PART_DISTANCE: usize = 512;

/// Returns a manifest that takes several parts.
fn publication(id: &str, revision: u64) -> Record {
    let log = Log::with_members(8, &["a"]);
    let manifest = Manifest {
        plans: log.fleet.plans().clone(),
        revision,
        workspaces: log.fleet.workspaces().clone(),
    };
    Record {
        body: Body::Publish {
            base: 0,
            document: Document::Manifest(Box::new(manifest)),
        },
        id: id.to_owned(),
        writer: "vm-\"001\"".to_owned(),
    }
}

fn parts(record: &Record) -> Vec<Vec<u8>> {
    let parts = record.encode(MAX_BYTES).unwrap();
    assert!(parts.len() > 2);
    assert!(parts.iter().all(|part| part.len() <= MAX_BYTES));
    parts
}

fn apply(fleet: &mut Fleet, record: &[u8]) -> Outcome {
    fleet.apply(fleet.next_offset().max(1), record)
}

/// Returns the state that the parts of a snapshot restore.
fn restored(fleet: &Fleet, max_bytes: usize) -> Fleet {
    let log = Log::default();
    let mut reader = SnapshotReader::default();
    let mut offset = fleet.next_offset();
    let mut last = None;
    for (index, body) in fleet.snapshot_bodies().into_iter().enumerate() {
        let chunk = log.record(&format!("chunk-{index}"), body);
        let chunk: Record = serde_json::from_slice(&chunk).unwrap();
        for part in chunk.encode(max_bytes).unwrap() {
            last = reader.add(offset, &part).unwrap();
            offset += 1;
        }
    }
    last.expect("the snapshot is complete")
}

#[test]
fn a_record_in_parts_takes_effect_once_its_last_part_is_read() {
    let mut fleet = Fleet::default();
    let record = publication("a", 1);
    let parts = parts(&record);
    let (last, first) = parts.split_last().unwrap();
    for part in first {
        assert_eq!(apply(&mut fleet, part), Outcome::Incomplete);
        assert_eq!(fleet.revision(), 0);
    }
    assert!(matches!(apply(&mut fleet, last), Outcome::Applied(_)));
    assert_eq!(fleet.revision(), 1);
    assert_eq!(fleet.plans_version(), parts.len() as Offset);
    for part in &parts {
        assert_eq!(apply(&mut fleet, part), Outcome::Repeated);
    }
    let whole = serde_json::to_vec(&record).unwrap();
    assert_eq!(apply(&mut fleet, &whole), Outcome::Repeated);
}

#[test]
fn a_record_that_fits_is_written_as_it_is() {
    let record = publication("a", 1);
    let whole = serde_json::to_vec(&record).unwrap();
    assert_eq!(record.encode(whole.len()).unwrap(), [whole]);
}

#[test]
fn a_writer_that_ends_between_two_parts_leaves_nothing_behind() {
    let mut fleet = Fleet::default();
    let abandoned = parts(&publication("a", 1));
    assert_eq!(apply(&mut fleet, &abandoned[0]), Outcome::Incomplete);
    let log = Log::with_members(8, &["a"]);
    for index in 0..MAX_PART_DISTANCE {
        apply(
            &mut fleet,
            &log.record(&format!("other-{index}"), join(1, "a")),
        );
    }
    for part in &abandoned[1..] {
        assert_eq!(apply(&mut fleet, part), Outcome::Incomplete);
    }
    // The parts are repeated as a whole by a writer that still runs.
    let outcomes: Vec<Outcome> = abandoned
        .iter()
        .map(|part| apply(&mut fleet, part))
        .collect();
    assert!(
        outcomes
            .iter()
            .any(|outcome| matches!(outcome, Outcome::Applied(_)))
    );
    assert_eq!(fleet.revision(), 1);
}

#[test]
fn parts_that_do_not_belong_together_are_refused() {
    let mut fleet = Fleet::default();
    let text = serde_json::to_string(&publication("a", 1)).unwrap();
    let mut part = |id: &str, part, parts, data: &str| {
        let record = Record {
            body: Body::Part {
                part,
                parts,
                data: data.to_owned(),
            },
            id: id.to_owned(),
            writer: "other".to_owned(),
        };
        apply(&mut fleet, &serde_json::to_vec(&record).unwrap())
    };
    let refused = [
        part("b", 0, 1, &text),
        part("c", 1, 1, "{}"),
        part("d", 0, 65, "{}"),
        part("e", 0, 1, "no record"),
    ];
    for outcome in refused {
        assert!(matches!(outcome, Outcome::Rejected(_)), "{outcome:?}");
    }
    assert_eq!(fleet.revision(), 0);
}

/// Applies the parts of three records in an order that the steps choose, with repetitions, and returns whether every process
/// folds the same state, also one that starts from a snapshot taken in between.
fn folds_alike(steps: Vec<u64>) -> bool {
    let records = ["a", "b", "c"].map(|id| parts(&publication(id, 1 + id.as_bytes()[0] as u64)));
    let mut fleet = Fleet::default();
    let mut follower = Fleet::default();
    let mut next = [0; 3];
    let all = records.iter().map(Vec::len).sum::<usize>();
    for step in steps.into_iter().chain(0..3 * all as u64) {
        let writer = step as usize % records.len();
        let parts = &records[writer];
        let is_repeated = step % 7 == 0 && next[writer] > 0;
        let index = if is_repeated {
            next[writer] - 1
        } else {
            next[writer]
        };
        let Some(part) = parts.get(index) else {
            continue;
        };
        next[writer] = index + 1;
        apply(&mut fleet, part);
        apply(&mut follower, part);
        if step % 5 == 0 {
            follower = restored(&fleet, 700 + step as usize % 4_096);
        }
        if follower != fleet {
            return false;
        }
    }
    fleet.revision() == 1 + u64::from(b'c')
}

#[test]
fn processes_that_start_between_two_parts_fold_the_same_state() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, SEED))
        .tests(60)
        .quickcheck(folds_alike as fn(Vec<u64>) -> bool);
}
