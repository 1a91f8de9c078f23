//! Tests of requests to an upstream: answers, errors, retries and connections.

use std::time::Duration;
use std::time::Instant;

use crate::fake_upstream::FakeUpstream;
use crate::fake_upstream::distant_deadline;
use crate::fake_upstream::read_request;
use crate::fake_upstream::request;
use ids::Unit;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use upstream::ClientSettings;
use upstream::DispatchError;
use upstream::Grant;
use upstream::NotRunReason;
use upstream::Request;
use upstream::UpstreamClient;

/// Response header timeout or deadline of requests that get no answer.
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

async fn start() -> (FakeUpstream, UpstreamClient) {
    let fake = FakeUpstream::start().await;
    let settings = ClientSettings {
        max_answer_bytes: 1000,
        idle_timeout: Duration::from_secs(60),
        non_idempotent_idle_timeout: Duration::ZERO,
        ..ClientSettings::default()
    };
    let client = UpstreamClient::new(fake.address, settings);
    (fake, client)
}

#[tokio::test]
async fn request_sends_its_headers_and_answer_drops_hop_by_hop_headers() {
    let (fake, client) = start().await;
    let grant = Grant {
        fence: 42,
        unit: Unit::Shard {
            service: "ordering".to_owned(),
            index: 3,
        },
    };
    let req = Request {
        body: "{}".into(),
        content_type: Some("application/json".to_owned()),
        grant: Some(grant),
        key: Some("shop 7".to_owned()),
        method: "POST".to_owned(),
        workspace: Some("hills".to_owned()),
        ..request("/named")
    };
    let answer = client.dispatch(req, distant_deadline()).await.unwrap();
    let head = fake.received()[0]
        .text
        .lines()
        .filter(|line| !line.starts_with("host: "))
        .map(|line| match line.split_once("deadline-ms: ") {
            Some((name, value)) => {
                assert!((1..=60_000).contains(&value.parse::<u64>().unwrap()));
                format!("{name}deadline-ms: [some]")
            }
            None => line.to_owned(),
        })
        .collect::<Vec<_>>()
        .join("\n");
    insta::assert_snapshot!(format!("{head}\n\n---\n\n{answer:#?}"));
}

#[tokio::test]
async fn each_error_states_whether_the_request_may_have_run() {
    let (_fake, client) = start().await;
    let mut report = String::new();
    for path in [
        "/wrong-id",
        "/fence",
        "/refusal-without-id",
        "/head",
        "/large",
        "/lost",
        "/shed",
        "/silent",
        "/stuck",
        "/unframed",
        "no-slash",
    ] {
        let deadline = match path {
            "/head" | "/silent" | "/stuck" => Instant::now() + Duration::from_secs(1),
            _ => distant_deadline(),
        };
        let error = client.dispatch(request(path), deadline).await.unwrap_err();
        report += &format!("{path}: not run: {}: {error}\n", error.is_not_run());
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = UpstreamClient::new(address, ClientSettings::default());
    let error = client
        .dispatch(request("/"), distant_deadline())
        .await
        .unwrap_err();
    report += &format!("nobody listens: not run: {}: {error}\n", error.is_not_run());
    insta::assert_snapshot!(report);
}

#[tokio::test]
async fn truncated_answer_is_an_error() {
    let (_fake, client) = start().await;
    let result = client
        .dispatch(request("/truncated"), distant_deadline())
        .await;
    assert!(
        matches!(result, Err(DispatchError::Truncated(_))),
        "{result:?}"
    );
}

#[tokio::test]
async fn control_characters_are_refused_before_anything_is_sent() {
    let (fake, client) = start().await;
    let req = Request {
        key: Some("a\r\nskylark-workspace: other".to_owned()),
        ..request("/")
    };
    let error = client.dispatch(req, distant_deadline()).await.unwrap_err();
    assert!(matches!(error, DispatchError::Invalid("key")), "{error:?}");
    assert_eq!(fake.received().len(), 0);
}

#[tokio::test]
async fn idle_connection_is_reused_only_for_idempotent_requests() {
    let (fake, client) = start().await;
    let unsafe_request = Request {
        idempotent: false,
        ..request("/")
    };
    client
        .dispatch(request("/"), distant_deadline())
        .await
        .unwrap();
    client
        .dispatch(request("/"), distant_deadline())
        .await
        .unwrap();
    client
        .dispatch(unsafe_request, distant_deadline())
        .await
        .unwrap();
    let connections: Vec<_> = fake.received().iter().map(|req| req.connection).collect();
    assert_eq!(connections, [1, 1, 2]);
}

#[tokio::test]
async fn response_header_timeout_closes_idle_connections_and_cancels_the_request() {
    let (fake, client) = start().await;
    let (first, second) = tokio::join!(
        client.dispatch(request("/a"), distant_deadline()),
        client.dispatch(request("/b"), distant_deadline()),
    );
    first.unwrap();
    second.unwrap();
    let req = Request {
        request_id: "id-2".to_owned(),
        response_header_timeout: Some(SHORT_TIMEOUT),
        ..request("/silent")
    };
    let error = client.dispatch(req, distant_deadline()).await.unwrap_err();
    assert!(matches!(error, DispatchError::NoAnswer), "{error:?}");
    fake.wait_for(r#"{"request_id":"id-2"}"#).await;
    client
        .dispatch(request("/c"), distant_deadline())
        .await
        .unwrap();
    let received = fake.received();
    let connection = |path: &str| {
        let found = received.iter().find(|req| req.text.contains(path)).unwrap();
        found.connection
    };
    assert!(connection(" /c ") > connection(" /a ").max(connection(" /b ")));
}

#[tokio::test]
async fn dropped_request_closes_its_connection_and_is_cancelled() {
    let (fake, client) = start().await;
    let dispatch = client.dispatch(request("/silent"), distant_deadline());
    tokio::select! {
        result = dispatch => panic!("{result:?}"),
        () = fake.wait_for("/silent") => {}
    }
    fake.wait_until_closed().await;
    fake.wait_for(r#"{"request_id":"id-1"}"#).await;
}

#[tokio::test]
async fn connection_that_closed_while_idle_is_replaced() {
    let (fake, client) = start().await;
    for number in 0..20 {
        let answer = client.dispatch(request("/last"), distant_deadline()).await;
        assert!(answer.is_ok(), "request {number}: {answer:?}");
    }
    let connections: Vec<_> = fake.received().iter().map(|req| req.connection).collect();
    assert_eq!(connections, Vec::from_iter(1..=20));
}

#[tokio::test]
async fn idempotent_request_that_was_lost_on_an_idle_connection_is_sent_again() {
    let (fake, client) = start().await;
    for _ in 0..2 {
        let answer = client
            .dispatch(request("/once-a-connection"), distant_deadline())
            .await;
        assert!(answer.is_ok(), "{answer:?}");
    }
    let connections: Vec<_> = fake.received().iter().map(|req| req.connection).collect();
    assert_eq!(connections, [1, 1, 2]);
}

#[tokio::test]
async fn connections_stay_within_their_limit() {
    let fake = FakeUpstream::start().await;
    let settings = ClientSettings {
        max_connections: 7,
        non_idempotent_idle_timeout: Duration::ZERO,
        ..ClientSettings::default()
    };
    let client = UpstreamClient::new(fake.address, settings);
    let mut running = tokio::task::JoinSet::new();
    for number in 0..60 {
        let client = client.clone();
        let req = Request {
            idempotent: number % 2 == 0,
            ..request("/")
        };
        running.spawn(async move { client.dispatch(req, distant_deadline()).await });
    }
    while let Some(result) = running.join_next().await {
        result.unwrap().unwrap();
    }
    assert_eq!(fake.received().len(), 60);
    assert!(fake.max_open() <= 7, "{} were open", fake.max_open());
}

#[tokio::test]
async fn waiting_for_a_connection_ends_at_the_deadline() {
    let fake = FakeUpstream::start().await;
    let settings = ClientSettings {
        max_connections: 5,
        ..ClientSettings::default()
    };
    let client = UpstreamClient::new(fake.address, settings);
    let busy = client.dispatch(request("/silent"), distant_deadline());
    let waiting = async {
        fake.wait_for("/silent").await;
        client
            .dispatch(request("/"), Instant::now() + SHORT_TIMEOUT)
            .await
    };
    tokio::select! {
        result = busy => panic!("{result:?}"),
        result = waiting => assert!(matches!(result, Err(DispatchError::NoConnection))),
    }
}

#[tokio::test]
async fn nothing_is_sent_after_the_deadline() {
    let (fake, client) = start().await;
    client
        .dispatch(request("/first"), distant_deadline())
        .await
        .unwrap();
    for _ in 0..50 {
        let error = client
            .dispatch(request("/late"), Instant::now())
            .await
            .unwrap_err();
        assert!(error.is_not_run(), "{error:?}");
    }
    client
        .dispatch(request("/last"), distant_deadline())
        .await
        .unwrap();
    let paths: Vec<_> = fake
        .received()
        .iter()
        .map(|req| req.text[..9].to_owned())
        .collect();
    assert_eq!(paths, ["GET /firs", "GET /last"]);
}

#[test]
fn only_some_errors_state_that_the_request_did_not_run() {
    let not_run = DispatchError::NotRun(NotRunReason::Other("draining".to_owned()));
    assert!(not_run.is_not_run());
    assert!(!DispatchError::NoAnswer.is_not_run());
}

#[tokio::test]
async fn a_late_copy_of_an_answer_never_answers_the_next_request() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let answer = |id: &str| {
            format!("HTTP/1.1 200 OK\r\nskylark-request-id: {id}\r\ncontent-length: 4\r\n\r\n{id}")
        };
        let (mut stream, _) = listener.accept().await.unwrap();
        read_request(&mut stream).await.unwrap();
        stream.write_all(answer("id-1").as_bytes()).await.unwrap();
        read_request(&mut stream).await.unwrap();
        let late = answer("id-1") + &answer("id-2");
        stream.write_all(late.as_bytes()).await.unwrap();
        assert!(read_request(&mut stream).await.is_none());
        let (mut stream, _) = listener.accept().await.unwrap();
        read_request(&mut stream).await.unwrap();
        stream.write_all(answer("id-3").as_bytes()).await.unwrap();
    });
    let client = UpstreamClient::new(address, ClientSettings::default());
    let dispatch = async |id: &str| {
        let req = Request {
            request_id: id.to_owned(),
            ..request("/")
        };
        client.dispatch(req, distant_deadline()).await
    };
    assert_eq!(dispatch("id-1").await.unwrap().body, "id-1");
    let second = dispatch("id-2").await;
    assert!(
        matches!(second, Err(DispatchError::MismatchedAnswer(_))),
        "{second:?}"
    );
    assert_eq!(dispatch("id-3").await.unwrap().body, "id-3");
}

#[tokio::test]
async fn an_answer_before_the_body_is_read_is_passed_on_and_the_body_stays_whole() {
    const BODY_BYTES: usize = 4 << 20;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serving = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.unwrap());
        }
        let answer =
            "HTTP/1.1 403 Forbidden\r\nskylark-request-id: id-1\r\ncontent-length: 2\r\n\r\nno";
        stream.write_all(answer.as_bytes()).await.unwrap();
        let (mut next, _) = listener.accept().await.unwrap();
        read_request(&mut next).await.unwrap();
        let answer = "HTTP/1.1 200 OK\r\nskylark-request-id: id-2\r\ncontent-length: 2\r\n\r\nok";
        next.write_all(answer.as_bytes()).await.unwrap();
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
        rest
    });
    let client = UpstreamClient::new(address, ClientSettings::default());
    let upload = Request {
        body: vec![7; BODY_BYTES].into(),
        idempotent: false,
        method: "POST".to_owned(),
        ..request("/upload")
    };
    let answer = client.dispatch(upload, distant_deadline()).await.unwrap();
    assert_eq!(
        (answer.status.as_u16(), &answer.body[..]),
        (403, &b"no"[..])
    );
    let next = Request {
        request_id: "id-2".to_owned(),
        ..request("/")
    };
    let answer = client.dispatch(next, distant_deadline()).await.unwrap();
    assert_eq!(answer.body, "ok");
    drop(client);
    let rest = serving.await.unwrap();
    assert!(
        rest.iter().all(|byte| *byte == 7),
        "other bytes than the body's"
    );
}
