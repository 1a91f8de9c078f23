//! Effects of commands on the log, and their output.

use config::KeyHash;
use records::MemoryLog;

use records::Log;

use crate::operator::Operator;

fn publish_as_rival(log: &MemoryLog) {
    let plans = std::fs::read_to_string("tests/fixtures/plans-heavier.json").unwrap();
    let record = format!(
        r#"{{"body": {{"type": "publish", "base": 1, "document": {{"plans": {plans}}}}},
            "id": "rival", "writer": "rival"}}"#
    );
    log.append(record.as_bytes()).unwrap();
}

#[test]
fn documents_are_published_once_and_only_on_their_base() {
    let operator = Operator::default();
    let report: String = [
        "show plans",
        "publish workspaces tests/fixtures/workspaces.json",
        "publish plans tests/fixtures/plans.json",
        "publish plans tests/fixtures/plans.json",
        "publish plans tests/fixtures/plans-heavier.json",
        "publish plans tests/fixtures/plans-heavier.json --base 1",
        "publish plans tests/fixtures/plans-heavier.json --base 1",
        "publish plans tests/fixtures/plans.json --base 1",
        "publish plans tests/fixtures/plans-other-shards.json --base 2",
        "publish workspaces tests/fixtures/workspaces.json",
        "show workspaces",
        "show plans --json",
    ]
    .iter()
    .map(|line| operator.text(line))
    .collect();
    insta::assert_snapshot!(report);
}

#[test]
fn conflicting_publication_reports_the_winner() {
    let operator = Operator::with_documents();
    operator.before_next_append(publish_as_rival);
    let lost = operator.text("publish plans tests/fixtures/plans-burst.json --base 1");
    insta::assert_snapshot!(lost);
}

#[test]
fn publication_can_be_repeated_after_a_rival_published_the_same_document() {
    let operator = Operator::with_documents();
    operator.before_next_append(publish_as_rival);
    let line = "publish plans tests/fixtures/plans-heavier.json --base 1";
    let (lost, again) = (operator.run(line), operator.run(line));
    assert_eq!((lost.exit_code, again.exit_code), (1, 0));
}

#[test]
fn zones_and_upstreams_change_state_once_and_unknown_names_are_refused() {
    let operator = Operator::with_documents();
    operator.join("vm-1");
    let report: String = [
        "zone out zb",
        "zone out za",
        "zone out za",
        "zone in za",
        "zone out zb --unknown-is-fine",
        "upstream drain vm-9",
        "upstream drain vm-1",
        "upstream drain vm-1",
        "upstream return vm-1",
        "declare-lost vm-9 --i-checked process-is-gone",
        "declare-lost vm-1 --i-checked process-is-gone",
        "declare-lost vm-1 --i-checked process-is-gone",
    ]
    .iter()
    .map(|line| operator.text(line))
    .collect();
    insta::assert_snapshot!(report);
}

#[test]
fn key_is_printed_once_and_only_its_hash_is_published() {
    let operator = Operator::with_documents();
    let issued = operator.run("key issue hills --json").stdout;
    let issued: serde_json::Value = serde_json::from_str(&issued).unwrap();
    let key = issued["key"].as_str().unwrap();
    assert_eq!(key.len(), "sk_".len() + 64);
    assert_eq!(issued["hash"], KeyHash::of(key).as_str());
    let records = operator.log.records().join("\n");
    assert!(!records.contains(key) && records.contains(issued["hash"].as_str().unwrap()));

    let withdraw = format!("key withdraw {key}");
    let codes = [
        operator.run("key issue nobody"),
        operator.run("key withdraw sk_unknown"),
        operator.run(&withdraw),
        operator.run(&withdraw),
    ]
    .map(|output| output.exit_code);
    assert_eq!(codes, [1, 1, 0, 0]);
    assert_eq!(operator.log.records().len(), 4);
    assert!(!operator.run(&withdraw).stdout.contains(key));
}

#[test]
fn quarantine_is_listed_and_cleared() {
    let operator = Operator::with_documents();
    operator.join("vm-1");
    operator.append(
        "crash",
        r#"{"type": "quarantine", "vm": "vm-1", "upstream_instance": "i", "fingerprint": "f00",
            "workspace": "hills", "alone": true, "expires_unix_ms": 2000000000000}"#,
    );
    let report: String = [
        "quarantine list",
        "quarantine clear f00",
        "quarantine clear f00",
        "quarantine list",
    ]
    .iter()
    .map(|line| operator.text(line))
    .collect();
    insta::assert_snapshot!(report);
}
