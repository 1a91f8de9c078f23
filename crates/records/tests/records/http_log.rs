//! HTTP client of the log against all kinds of responses.

use std::io::Write;
use std::time::Duration;

use records::AppendError;
use records::HttpLog;
use records::Log;
use records::ReadError;

use crate::log_server::LogServer;
use crate::log_server::read_request;

const SHORT_TIMEOUT: Duration = Duration::from_millis(300);
const LONG_TIMEOUT: Duration = Duration::from_secs(60);

fn client(addresses: &[&str], timeout: Duration) -> HttpLog {
    let addresses = addresses.iter().map(|&address| address.to_owned());
    HttpLog::new(addresses.collect(), timeout)
}

fn append(address: &str, timeout: Duration) -> String {
    match client(&[address], timeout).append(b"{}") {
        Ok(offset) => format!("offset {offset}"),
        Err(AppendError::Refused(_)) => "refused".to_owned(),
        Err(AppendError::Unacceptable(_)) => "unacceptable".to_owned(),
        Err(AppendError::Unknown(_)) => "unknown".to_owned(),
    }
}

#[test]
fn appends_are_refused_only_when_nothing_was_written() {
    let mut report = String::new();
    for (status, body) in [
        ("200 OK", r#"{"offset": 17, "more": 1}"#),
        ("200 OK", "no JSON"),
        ("400 Bad Request", ""),
        ("413 Payload Too Large", ""),
        ("429 Too Many Requests", ""),
        ("500 Internal Server Error", ""),
        ("503 Service Unavailable", ""),
    ] {
        let server = LogServer::with_response(status, body);
        report += &format!(
            "{status} {body}: {}\n",
            append(&server.address, LONG_TIMEOUT)
        );
    }
    let closing = LogServer::with_raw_response(String::new());
    report += &format!("no answer: {}\n", append(&closing.address, LONG_TIMEOUT));
    report += &format!(
        "nobody listens: {}\n",
        append(&LogServer::unused_address(), LONG_TIMEOUT)
    );
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = silent.local_addr().unwrap().to_string();
    report += &format!("silence: {}\n", append(&address, SHORT_TIMEOUT));
    insta::assert_snapshot!(report);
}

#[test]
fn append_tries_another_address_only_after_a_refusal() {
    let down = LogServer::with_response("503 Service Unavailable", "");
    let closing = LogServer::with_raw_response(String::new());
    let up = LogServer::with_response("200 OK", r#"{"offset": 4}"#);
    let unused = LogServer::unused_address();
    let log = client(&[&unused, &down.address, &up.address], LONG_TIMEOUT);
    assert_eq!(log.append(b"{}").unwrap(), 4);
    assert_eq!(log.append(b"{}").unwrap(), 4);
    assert_eq!(down.requests().len(), 1, "the working address is preferred");
    assert_eq!(up.requests(), ["POST /v1/records HTTP/1.1 {}"; 2]);

    let log = client(&[&closing.address, &up.address], LONG_TIMEOUT);
    assert!(matches!(log.append(b"{}"), Err(AppendError::Unknown(_))));
    assert_eq!(closing.requests().len(), 1);
    assert_eq!(up.requests().len(), 2);
}

#[test]
fn reads_try_other_addresses_and_validate_responses() {
    let records = r#"{"first": 1, "next": 9, "records": [{"offset": 7, "body": "a"}, {"offset": 8, "body": "b"}]}"#;
    let up = LogServer::with_response("200 OK", records);
    let closing = LogServer::with_raw_response(String::new());
    let log = client(&[&closing.address, &up.address], LONG_TIMEOUT);
    let batch = log.read(7, 2, Duration::from_millis(1500)).unwrap();
    let bodies: Vec<_> = batch.records.iter().map(|stored| &*stored.body).collect();
    assert_eq!((batch.first, batch.next, bodies), (1, 9, vec!["a", "b"]));
    let expected = "GET /v1/records?from=7&max=2&wait_ms=1500 HTTP/1.1 ";
    assert_eq!(up.requests(), [expected]);

    let mismatched = log.read(6, 2, Duration::ZERO);
    assert!(
        matches!(mismatched, Err(ReadError::Unavailable(_))),
        "{mismatched:?}"
    );
    let expired = LogServer::with_response("410 Gone", r#"{"first": 9}"#);
    let expired = client(&[&expired.address], LONG_TIMEOUT).read(1, 2, Duration::ZERO);
    assert!(matches!(expired, Err(ReadError::Expired { first: 9 })));
    let down = LogServer::with_response("503 Service Unavailable", "");
    let down = client(&[&down.address, &LogServer::unused_address()], LONG_TIMEOUT).read(
        1,
        2,
        Duration::ZERO,
    );
    assert!(matches!(down, Err(ReadError::Unavailable(_))));
}

#[test]
fn oversized_response_is_retried_with_fewer_records() {
    let server = LogServer::with_response("200 OK", &"x".repeat(17 << 20));
    let read = client(&[&server.address], LONG_TIMEOUT).read(1, 4, Duration::ZERO);
    assert!(matches!(read, Err(ReadError::Unavailable(_))));
    let maximums: Vec<_> = server
        .requests()
        .iter()
        .map(|text| text.split("max=").nth(1).unwrap()[..1].to_owned())
        .collect();
    assert_eq!(maximums, ["4", "2", "1"]);
}

#[test]
fn unresponsive_connection_after_a_response_does_not_delay_later_calls() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        let mut silent = Vec::new();
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            read_request(&mut stream);
            let response = b"HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{\"offset\": 4}";
            stream.write_all(response).unwrap();
            silent.push(stream);
        }
    });
    let log = client(&[&address], Duration::from_secs(5));
    for _ in 0..5 {
        assert_eq!(log.append(b"{}").unwrap(), 4);
    }
}
