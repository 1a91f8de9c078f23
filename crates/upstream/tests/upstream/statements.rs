//! Tests of what answers state about the upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use http::HeaderName;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use upstream::AnswerHead;
use upstream::AnswerObserver;
use upstream::ClientSettings;
use upstream::Dialect;
use upstream::RateLimitStatement;
use upstream::UpstreamClient;

use crate::fake_upstream::FakeUpstream;
use crate::fake_upstream::distant_deadline;
use crate::fake_upstream::read_request;
use crate::fake_upstream::request;

#[derive(Debug, Default)]
struct RecordedAnswers {
    lines: Mutex<Vec<String>>,
}

impl RecordedAnswers {
    fn push(&self, what: &str, head: &AnswerHead) {
        let limit = match &head.rate_limit {
            RateLimitStatement::Absent => "none".to_owned(),
            RateLimitStatement::Invalid(value) => format!("invalid `{value}`"),
            RateLimitStatement::RequestsPerSecond(rate) => rate.to_string(),
        };
        let leaving = if head.is_leaving { ", leaving" } else { "" };
        let speed = head.stated_speed;
        let speed = speed.map_or(String::new(), |speed| format!(", speed {speed}"));
        let line = format!("{} {what}: {limit}{leaving}{speed}", head.number);
        self.lines.lock().unwrap().push(line);
    }
}

impl AnswerObserver for RecordedAnswers {
    fn begin_answer(&self, head: &AnswerHead) {
        self.push("begins", head);
    }

    fn end_answer(&self, head: &AnswerHead) {
        self.push("ends", head);
    }

    fn repeat_request(&self) -> bool {
        self.lines.lock().unwrap().push("repeated".to_owned());
        false
    }
}

/// Starts an upstream that answers each request on a new connection with the next of `answers`, and then closes the
/// connection.
async fn start_scripted(answers: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for answer in answers {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_request(&mut stream).await.unwrap();
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
    });
    address
}

/// Returns an answer to request `id-1` with more header lines.
fn answer(status: &str, lines: &[&str], body: &str) -> String {
    let lines: String = lines.iter().map(|line| format!("{line}\r\n")).collect();
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nskylark-request-id: id-1\r\n{lines}connection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Returns what an observer sees of `answers`, one after the other.
async fn observe(answers: Vec<String>) -> Vec<String> {
    observe_with(ClientSettings::default(), answers).await
}

async fn observe_with(settings: ClientSettings, answers: Vec<String>) -> Vec<String> {
    let count = answers.len();
    let address = start_scripted(answers).await;
    let observer = Arc::new(RecordedAnswers::default());
    let recorded: Arc<dyn AnswerObserver> = Arc::clone(&observer) as _;
    let client = UpstreamClient::with_observer(address, settings, recorded);
    for _ in 0..count {
        let _ = client.dispatch(request("/"), distant_deadline()).await;
    }
    observer.lines.lock().unwrap().clone()
}

#[tokio::test]
async fn every_answer_states_the_limit_and_refusals_do_too() {
    let seen = observe(vec![
        answer("200 OK", &["skylark-rate-limit: 18.1"], "body"),
        answer(
            "503 Busy",
            &["skylark-not-run: shed", "skylark-rate-limit: 0"],
            "",
        ),
        answer(
            "500 Failed",
            &["skylark-rate-limit: 0.4", "skylark-leaving: 1"],
            "",
        ),
        answer("200 OK", &[], "body"),
    ])
    .await;
    let expected = [
        "0 begins: 18.1",
        "0 ends: 18.1",
        "1 begins: 0",
        "1 ends: 0",
        "2 begins: 0.4, leaving",
        "2 ends: 0.4, leaving",
        "3 begins: none",
        "3 ends: none",
    ];
    assert_eq!(seen, expected);
}

#[tokio::test]
async fn values_that_are_no_rate_are_invalid() {
    for value in ["", "ten", "-1", "inf", "NaN", "1e3", "+5", "5,5", "1.2.3"] {
        let line = format!("skylark-rate-limit: {value}");
        let seen = observe(vec![answer("200 OK", &[&line], "")]).await;
        assert_eq!(seen[0], format!("0 begins: invalid `{value}`"));
    }
    let endless = "9".repeat(400);
    let line = format!("skylark-rate-limit: {endless}");
    let seen = observe(vec![answer("200 OK", &[&line], "")]).await;
    assert_eq!(seen[0], format!("0 begins: invalid `{endless}`"));
    let twice = ["skylark-rate-limit: 5", "skylark-rate-limit: 7"];
    let seen = observe(vec![answer("200 OK", &twice, "")]).await;
    assert_eq!(seen[0], "0 begins: invalid `5, 7`");
}

/// Guards against a speed from a header that cannot be read, which would distort the placement of requests.
#[tokio::test]
async fn the_speed_of_the_machine_is_read_from_the_load_header() {
    let cases = [
        (vec!["load: 3,0,8,200"], ", speed 0.5"),
        (vec!["load: 3 0 8 80"], ", speed 1.25"),
        (
            vec!["load: running=3; waiting=0; slots=8; time=100.0"],
            ", speed 1",
        ),
        (vec!["load: 3,0,8"], ""),
        (vec!["load: 3,0,8,0"], ""),
        (vec!["load: 3,0,8,1.2.3"], ""),
        (vec!["load: "], ""),
        (vec!["load: 3,0,8,200", "load: 3,0,8,100"], ""),
    ];
    let dialect = Dialect {
        load: Some(HeaderName::from_static("load")),
        ..Dialect::default()
    };
    let settings = ClientSettings {
        dialect: Arc::new(dialect),
        ..ClientSettings::default()
    };
    for (lines, speed) in cases {
        let seen = observe_with(settings.clone(), vec![answer("200 OK", &lines, "")]).await;
        assert_eq!(seen[0], format!("0 begins: none{speed}"), "{lines:?}");
        let seen = observe(vec![answer("200 OK", &lines, "")]).await;
        assert_eq!(seen[0], "0 begins: none");
    }
}

#[tokio::test]
async fn a_broken_answer_does_not_end() {
    let whole = answer("200 OK", &[], "body");
    let seen = observe(vec![whole[..whole.len() - 1].to_owned()]).await;
    assert_eq!(seen, ["0 begins: none"]);
}

#[tokio::test]
async fn answers_to_other_requests_and_from_other_upstreams_state_nothing() {
    let lines = ["skylark-rate-limit: 5", "skylark-leaving: 1"];
    let seen = observe(vec![
        answer("200 OK", &lines, "").replace("id-1", "id-0"),
        answer("421 Misdirected", &lines, ""),
    ])
    .await;
    assert_eq!(seen, Vec::<String>::new());
}

#[tokio::test]
async fn callers_do_not_see_what_an_upstream_states() {
    let lines = ["skylark-rate-limit: 5", "skylark-leaving: 1", "kept: yes"];
    let address = start_scripted(vec![answer("200 OK", &lines, "")]).await;
    let client = UpstreamClient::new(address, ClientSettings::default());
    let answer = client
        .dispatch(request("/"), distant_deadline())
        .await
        .unwrap();
    let names: Vec<_> = answer.headers.keys().map(|name| name.as_str()).collect();
    assert_eq!(names, ["kept"]);
}

// EVAC: a request that was lost on an idle connection was sent again without asking whether it still may.
#[tokio::test]
async fn a_request_that_may_not_be_repeated_is_sent_once() {
    let fake = FakeUpstream::start().await;
    let observer = Arc::new(RecordedAnswers::default());
    let recorded: Arc<dyn AnswerObserver> = Arc::clone(&observer) as _;
    let settings = ClientSettings::default();
    let client = UpstreamClient::with_observer(fake.address, settings, recorded);
    for _ in 0..2 {
        let req = request("/once-a-connection");
        let _ = client.dispatch(req, distant_deadline()).await;
    }
    let lines = observer.lines.lock().unwrap().clone();
    assert_eq!(lines.last().unwrap(), "repeated");
    let connections: Vec<_> = fake.received().iter().map(|req| req.connection).collect();
    assert_eq!(connections, [1, 1]);
}
