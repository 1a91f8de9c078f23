//! Messages about wrong command lines and documents.

use crate::operator::Operator;
use crate::operator::format_output;
use crate::operator::run_line;

#[test]
fn wrong_command_lines_are_refused_with_a_reason() {
    let operator = Operator::default();
    let report: String = [
        "",
        "pubish",
        "publish",
        "publish zones x",
        "publish plans",
        "publish plans x --base one",
        "publish plans x y",
        "publish plans x",
        "zone away za",
        "zone out",
        "upstream drain",
        "key",
        "key issue",
        "key withdraw",
        "key withdraw --hash 12",
        "quarantine clear",
        "declare-lost",
        "declare-lost vm-1",
        "declare-lost vm-1 --i-checked yes",
        "--timeout-ms soon status",
        "status",
        "owner ordering",
        "explain",
        "status --frobnicate",
    ]
    .iter()
    .map(|line| format!("$ {line}\n{}", format_output(&run_line(line, &operator))))
    .collect();
    insta::assert_snapshot!(report);
    assert_eq!(operator.log.records().len(), 0);
}

#[test]
fn wrong_documents_are_refused_before_they_are_appended() {
    let operator = Operator::with_documents();
    let before = operator.log.records().len();
    let report: String = [
        "publish plans tests/fixtures/missing.json",
        "publish plans tests/fixtures/plans-cut.json --base 1",
        "publish plans tests/fixtures/plans-misspelt.json --base 1",
        "publish plans tests/fixtures/plans-negative.json --base 1",
        "publish plans tests/fixtures/workspaces.json --base 1",
        "publish workspaces tests/fixtures/workspaces-undeclared.json --base 2",
        "publish workspaces tests/fixtures/plans.json --base 2",
    ]
    .iter()
    .map(|line| operator.text(line))
    .collect();
    insta::assert_snapshot!(report);
    assert_eq!(operator.log.records().len(), before);
}

#[test]
fn help_states_commands_and_exit_codes() {
    let operator = Operator::default();
    insta::assert_snapshot!(format_output(&run_line("--help", &operator)));
    assert_eq!(run_line("--version", &operator).exit_code, 0);
}

#[test]
fn failures_are_json_on_request() {
    let operator = Operator::default();
    insta::assert_snapshot!(format_output(&run_line("--json pubish", &operator)));
}
