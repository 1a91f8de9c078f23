//! Logs that are down, lose answers, or have expired old records.

use std::collections::BTreeSet;

use cluster::Fleet;
use cluster::Record;
use records::Log;

use crate::operator::Operator;

#[test]
fn lost_answers_are_resolved_by_reading() {
    let operator = Operator::with_documents();
    operator.join("vm-1");
    operator.log.lose_answers(1);
    let output = operator.run("zone out za");
    assert_eq!(output.exit_code, 0, "{output:?}");
    assert_eq!(operator.log.records().len(), 4);
}

#[test]
fn outage_before_the_append_writes_nothing() {
    let operator = Operator::with_documents();
    operator.join("vm-1");
    operator.before_next_append(|log| log.set_down(true));
    insta::assert_snapshot!(operator.text("zone out za"));
    insta::assert_snapshot!(operator.text("zone out za"));
    assert_eq!(operator.log.records().len(), 3);
}

#[test]
fn outage_after_the_append_leaves_the_outcome_unknown() {
    let operator = Operator::with_documents();
    operator.join("vm-1");
    operator.log.lose_answers(1);
    let reads = operator.fail_reads_after_append();
    let zone = operator.text("zone out za");
    let key = operator.run("key issue hills");
    drop(reads);
    let id = serde_json::from_str::<Record>(&operator.log.records()[3])
        .unwrap()
        .id;
    insta::assert_snapshot!(zone.replace(&id, "[id]"));
    assert_eq!(key.exit_code, 1, "{key:?}");
    assert_eq!(operator.run("zone out za").exit_code, 0);
    let ids = operator.log.records().into_iter().map(|record| {
        let record: Record = serde_json::from_str(&record).unwrap();
        record.id
    });
    assert_eq!(ids.collect::<BTreeSet<_>>().len(), 4);
}

#[test]
fn truncated_log_is_read_from_its_snapshot() {
    let operator = Operator::with_documents();
    operator.join("vm-1");
    let mut fleet = Fleet::default();
    for (offset, record) in (1..).zip(operator.log.records()) {
        fleet.apply(offset, record.as_bytes());
    }
    operator.log.expire_below(3);
    insta::assert_snapshot!(operator.text("show workspaces"));
    for (number, body) in fleet.snapshot_bodies().into_iter().enumerate() {
        let record = Record {
            body,
            id: format!("snapshot {number}"),
            writer: "vm-1".to_owned(),
        };
        let record = serde_json::to_vec(&record).unwrap();
        operator.log.append(&record).unwrap();
    }
    insta::assert_snapshot!(operator.text("show workspaces"));
    assert_eq!(operator.run("zone out za").exit_code, 0);
}
