//! Tests of answers without a valid status.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use upstream::Answer;
use upstream::ClientSettings;
use upstream::DispatchError;
use upstream::Request;
use upstream::UpstreamClient;

use crate::fake_upstream::distant_deadline;
use crate::fake_upstream::read_request;
use crate::fake_upstream::request;

/// Headers and body that belong to a valid answer.
const REST: &str = "skylark-request-id: id-1\r\ncontent-length: 5\r\n\r\nwhole";

const VALID: &str = "HTTP/1.1 200 OK\r\n";

/// An upstream that answers the first request on each connection with a text, and later ones validly.
struct RawUpstream {
    address: SocketAddr,
    /// Number of the connection of each request, without cancellations.
    connections: Arc<Mutex<Vec<usize>>>,
}

impl RawUpstream {
    async fn start(first: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let raw = Self {
            address: listener.local_addr().unwrap(),
            connections: Arc::default(),
        };
        let connections = Arc::clone(&raw.connections);
        tokio::spawn(async move {
            for connection in 0.. {
                let (stream, _) = listener.accept().await.unwrap();
                let connections = Arc::clone(&connections);
                tokio::spawn(serve(stream, connection, first.clone(), connections));
            }
        });
        raw
    }

    /// Asserts that each of `count` requests arrived, and on a connection of its own.
    fn assert_connections_differ(&self, count: usize, sent: &str) {
        let connections = self.connections.lock().unwrap();
        let distinct: BTreeSet<_> = connections.iter().collect();
        assert_eq!(
            (connections.len(), distinct.len()),
            (count, count),
            "{sent:?}"
        );
    }
}

async fn serve(
    mut stream: TcpStream,
    connection: usize,
    first: String,
    connections: Arc<Mutex<Vec<usize>>>,
) {
    let valid = format!("{VALID}{REST}");
    let mut answer = &first;
    while let Some(text) = read_request(&mut stream).await {
        if text.starts_with("GET / ") {
            connections.lock().unwrap().push(connection);
        } else {
            answer = &valid;
        }
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        answer = &valid;
    }
}

async fn dispatch(
    client: &UpstreamClient,
    is_idempotent: bool,
    deadline: Instant,
) -> Result<Answer, DispatchError> {
    let req = Request {
        idempotent: is_idempotent,
        ..request("/")
    };
    client.dispatch(req, deadline).await
}

/// Asserts that an answer that begins with `head` is not passed on, and that its connection is not used again.
async fn assert_rejected(head: &str) {
    for rest in [REST, "content-length: 5\r\n\r\nwhole", "\r\n"] {
        for is_idempotent in [true, false] {
            let sent = format!("{head}{rest}");
            let raw = RawUpstream::start(sent.clone()).await;
            let client = UpstreamClient::new(raw.address, ClientSettings::default());
            for attempt in 1..=3 {
                let result = dispatch(&client, is_idempotent, distant_deadline()).await;
                let error = result.expect_err(&format!("answered by {sent:?}"));
                assert!(!error.is_not_run(), "{sent:?}: {error:?}");
                raw.assert_connections_differ(attempt, &sent);
            }
        }
    }
}

#[tokio::test]
async fn an_answer_with_a_status_below_100_is_not_passed_on() {
    for status in ["000 x", "000", "001 x", "099 x", "99 x"] {
        assert_rejected(&format!("HTTP/1.1 {status}\r\n")).await;
    }
}

#[tokio::test]
async fn an_answer_with_a_status_of_600_or_above_is_not_passed_on() {
    for status in ["600 x", "600", "799 x", "999 x", "1000 x"] {
        assert_rejected(&format!("HTTP/1.1 {status}\r\n")).await;
    }
}

#[tokio::test]
async fn an_answer_without_a_status_is_not_passed_on() {
    for line in [
        "HTTP/1.1\r\n",
        "HTTP/1.1 \r\n",
        "HTTP/1.1 OK\r\n",
        "x: y\r\n",
    ] {
        assert_rejected(line).await;
    }
}

/// Guards against a switch of protocols that no caller asked for.
#[tokio::test]
async fn an_answer_that_switches_protocols_is_not_passed_on() {
    let head = "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n";
    assert_rejected(head).await;
}

#[tokio::test]
async fn interim_answers_without_an_end_are_no_answer() {
    for interim in ["HTTP/1.1 100 Continue\r\n", "HTTP/1.1 199 x\r\n"] {
        for rest in ["\r\n", "skylark-request-id: id-1\r\n\r\n"] {
            let sent = format!("{interim}{rest}");
            let raw = RawUpstream::start(sent.clone()).await;
            let client = UpstreamClient::new(raw.address, ClientSettings::default());
            for attempt in 1..=2 {
                let deadline = Instant::now() + Duration::from_millis(100);
                let result = dispatch(&client, true, deadline).await;
                assert!(
                    matches!(result, Err(DispatchError::NoAnswer)),
                    "{sent:?}: {result:?}"
                );
                raw.assert_connections_differ(attempt, &sent);
            }
        }
    }
}

/// Guards against the rejection of statuses that are unusual and valid.
#[tokio::test]
async fn an_answer_with_any_other_status_is_passed_on() {
    for status in [200, 299, 404, 499, 500, 599] {
        let raw = RawUpstream::start(format!("HTTP/1.1 {status} x\r\n{REST}")).await;
        let client = UpstreamClient::new(raw.address, ClientSettings::default());
        let answer = dispatch(&client, true, distant_deadline()).await.unwrap();
        assert_eq!(answer.status.as_u16(), status);
        assert_eq!(answer.body, "whole");
    }
}
