//! Tests of the log stand-in over HTTP.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use standin::LogFaults;
use standin::LogOptions;
use standin::LogStandin;
use ureq::Agent;

fn start(retain: Option<usize>, appends_per_second: Option<u32>) -> LogStandin {
    let options = LogOptions {
        retain,
        appends_per_second,
        ..LogOptions::default()
    };
    LogStandin::start(&options).unwrap()
}

fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(20)))
        .build()
        .into()
}

fn format_response(result: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> String {
    match result {
        Ok(mut response) => {
            let body = response.body_mut().read_to_string().unwrap();
            format!("{} {body}\n", response.status().as_u16())
        }
        Err(_) => "no answer\n".to_owned(),
    }
}

fn append(log: &LogStandin, body: &str) -> String {
    format_response(
        agent()
            .post(format!("http://{}/v1/records", log.address()))
            .send(body),
    )
}

fn read(log: &LogStandin, query: &str) -> String {
    format_response(
        agent()
            .get(format!("http://{}/v1/records?{query}", log.address()))
            .call(),
    )
}

#[test]
fn records_are_appended_read_and_expire() {
    let log = start(Some(2), None);
    let mut seen = String::new();
    seen += &read(&log, "from=1&wait_ms=1");
    for body in ["a", "b", "c"] {
        seen += &append(&log, body);
    }
    seen += &read(&log, "from=1");
    seen += &read(&log, "from=2&max=1");
    seen += &read(&log, "from=2");
    seen += &append(&log, &"x".repeat(262_145));
    seen += &append(&log, &"x".repeat(262_144));
    seen += &read(&log, "from=zero");
    insta::assert_snapshot!(seen);
}

#[test]
fn reader_waits_for_the_next_record() {
    let log = start(None, None);
    let address = log.address();
    let reader = thread::spawn(move || {
        let url = format!("http://{address}/v1/records?from=1&wait_ms=15000");
        format_response(agent().get(url).call())
    });
    // Gives the reader time to start waiting; the test passes even if the append comes first.
    thread::sleep(Duration::from_millis(100));
    log.append("late");
    assert_eq!(
        reader.join().unwrap(),
        "200 {\"first\":1,\"next\":2,\"records\":[{\"offset\":1,\"body\":\"late\"}]}\n"
    );
}

#[test]
fn append_rate_is_limited() {
    let log = start(None, Some(0));
    assert_eq!(
        append(&log, "a"),
        "429 {\"message\":\"the rate of appends is exceeded\"}\n"
    );
    assert_eq!(
        read(&log, "from=1"),
        "200 {\"first\":1,\"next\":1,\"records\":[]}\n"
    );
}

#[test]
fn faults_are_injected_on_command() {
    let log = start(None, None);
    let set_faults = |faults: &str| {
        let url = format!("http://{}/faults", log.address());
        format_response(agent().post(url).send(faults))
    };
    let mut seen = set_faults(r#"{"down": true}"#);
    seen += &append(&log, "down");
    seen += &read(&log, "from=1");
    seen += &set_faults(r#"{"lose_answer_count": 1}"#);
    seen += &append(&log, "lost answer");
    seen += &append(&log, "answered");
    seen += &set_faults(r#"{"lose_answers": true, "slow_ms": 1}"#);
    seen += &append(&log, "lost answer");
    seen += &set_faults("{}");
    seen += &read(&log, "from=1");
    seen += &set_faults(r#"{"dwon": true}"#);
    insta::assert_snapshot!(seen);
}

#[test]
fn append_takes_effect_after_its_client_disconnects() {
    let log = start(None, None);
    log.set_faults(LogFaults {
        slow_ms: 50,
        ..LogFaults::default()
    });
    let mut stream = TcpStream::connect(log.address()).unwrap();
    let request = "POST /v1/records HTTP/1.1\r\nhost: log\r\ncontent-length: 4\r\n\r\nlate";
    stream.write_all(request.as_bytes()).unwrap();
    drop(stream);
    assert_eq!(
        read(&log, "from=1&wait_ms=15000"),
        "200 {\"first\":1,\"next\":2,\"records\":[{\"offset\":1,\"body\":\"late\"}]}\n"
    );
}
