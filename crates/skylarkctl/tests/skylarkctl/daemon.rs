//! Queries to the operator interface of a process.

use crate::operator::Operator;
use crate::operator::format_output;
use crate::operator::run_line;

const STATUS: &str = r#"{"config_version": 12, "next": 40, "plans_version": 9, "workspaces_version": 12, "units": 8,
    "unowned_units": 1, "quarantine": ["f00"], "zones_out": {"za": false, "zb": true}, "members": [
    {"vm": "vm-1", "zone": "za", "service": "ordering", "units": 4, "next": 40, "drained": false},
    {"vm": "vm-2", "zone": "zb", "service": "ordering", "units": 3, "next": null, "drained": true}]}"#;

const ROLLOUTS: &str = r#"{"rollouts": [
    {"service": "ordering", "target_version": "v2", "state": "trial", "share": 0.05, "since_order_ms": 4000,
    "duration_ms": 12000, "published": "trial", "reason": null, "rollback": "route r-1: 19 of 19 answers failed",
    "deciders": ["vm-1", "vm-2"], "report_ages_ms": {"vm-1": 20, "vm-3": 250}, "routes": [{"route": "r-1",
    "trial_answers": 19, "trial_failures": 19, "current_answers": 900, "current_failures": 1, "sum": 12.5,
    "threshold": 10.5}]},
    {"service": "billing", "target_version": "v7", "state": "completed", "share": 1.0, "since_order_ms": 90000,
    "duration_ms": 30000, "published": "completed", "reason": "all members have it", "deciders": []}]}"#;

/// Starts a server that answers four queries. Returns its address and a thread that ends with the requested paths.
fn start_daemon() -> (String, std::thread::JoinHandle<Vec<String>>) {
    let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_string();
    let server_thread = std::thread::spawn(move || {
        let requests = server.incoming_requests().take(4);
        let answer = |request: tiny_http::Request| {
            let path = request.url().to_owned();
            let (status, body) = match path.split(['?', '/']).nth(2).unwrap() {
                "status" => (200, STATUS),
                "owner" => (200, r#"{"owner": null, "unit": "shard:ordering:3"}"#),
                _ => (404, r#"{"error": "no such request: ask another VM"}"#),
            };
            let res = tiny_http::Response::from_string(body).with_status_code(status);
            request.respond(res).unwrap();
            path
        };
        requests.map(answer).collect()
    });
    (address, server_thread)
}

#[test]
fn answers_of_a_daemon_are_printed() {
    let (address, server_thread) = start_daemon();
    let operator = Operator::default();
    let mut report = String::new();
    for line in [
        "status",
        "status --json",
        "owner ordering shop/7?",
        "explain id-1",
    ] {
        let output = run_line(&format!("--daemon {address} {line}"), &operator);
        report += &format!("$ {line}\n{}", format_output(&output));
    }
    let paths = server_thread.join().unwrap().join("\n");
    insta::assert_snapshot!(format!("{report}\n{paths}"));
}

#[test]
fn rollouts_of_a_daemon_are_printed() {
    let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_string();
    let server_thread = std::thread::spawn(move || {
        let bodies = [ROLLOUTS, r#"{"rollouts": []}"#];
        for (body, request) in bodies.into_iter().zip(server.incoming_requests()) {
            assert_eq!(request.url(), "/v1/status");
            let res = tiny_http::Response::from_string(body);
            request.respond(res).unwrap();
        }
    });
    let operator = Operator::default();
    let print = || {
        format_output(&run_line(
            &format!("--daemon {address} rollouts"),
            &operator,
        ))
    };
    let report = format!("{}{}", print(), print());
    server_thread.join().unwrap();
    insta::assert_snapshot!(report);
}

#[test]
fn daemon_that_does_not_answer_is_named() {
    let operator = Operator::default();
    let output = run_line("--daemon 127.0.0.1:1 status", &operator);
    assert_eq!(output.exit_code, 1);
    assert!(
        output.stderr.contains("127.0.0.1:1 does not answer"),
        "{output:?}"
    );
}
