//! Tests of upstreams that send bytes without end.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use upstream::ClientSettings;
use upstream::UpstreamClient;

use crate::fake_upstream::distant_deadline;
use crate::fake_upstream::request;

const HEAD: &str = "HTTP/1.1 200 OK\r\nskylark-request-id: id-1\r\n";

/// Number of bytes that an upstream may get rid of on one connection: what the client reads and the kernel buffers.
const MAX_ACCEPTED_BYTES: usize = 16 << 20;

/// Deadline of a request whose answer trickles in.
const TRICKLED_DEADLINE: Duration = Duration::from_millis(300);

/// Pause between two bytes of an answer that trickles in.
const TRICKLE_PAUSE: Duration = Duration::from_millis(1);

/// What an upstream sends: a beginning, and a text that it repeats until the client closes the connection.
#[derive(Clone)]
struct EndlessAnswer {
    beginning: String,
    repeated: &'static str,
}

fn endless_answers() -> Vec<EndlessAnswer> {
    let chunked = format!("{HEAD}transfer-encoding: chunked\r\n\r\n");
    [
        (String::new(), "x"),
        (String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
        (String::new(), "HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n"),
        ("HTTP/1.1 200 ".to_owned(), "x"),
        (HEAD.to_owned(), "a: b\r\n"),
        (format!("{HEAD}a: "), "x"),
        (format!("{HEAD}content-length: 9999999999\r\n\r\n"), "x"),
        (format!("{HEAD}\r\n"), "x"),
        (chunked.clone(), "3\r\nabc\r\n"),
        (format!("{chunked}0"), "0"),
        (format!("{chunked}3;"), "x"),
        (format!("{chunked}3\r\nabc\r\n0\r\n"), "a: b\r\n"),
        (format!("{chunked}3\r\nabc\r\n0\r\na: "), "x"),
    ]
    .into_iter()
    .map(|(beginning, repeated)| EndlessAnswer {
        beginning,
        repeated,
    })
    .collect()
}

/// An upstream whose first connection gets an endless answer, and each later one a proper answer.
struct EndlessUpstream {
    accepted_bytes: Arc<AtomicUsize>,
    client: UpstreamClient,
    closed: mpsc::UnboundedReceiver<()>,
}

impl EndlessUpstream {
    async fn start(answer: EndlessAnswer, is_trickled: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let accepted_bytes = Arc::new(AtomicUsize::new(0));
        let (closed_tx, closed) = mpsc::unbounded_channel();
        let counter = accepted_bytes.clone();
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_head(&mut stream).await;
            tokio::spawn(async move {
                send_endlessly(stream, answer, is_trickled, &counter).await;
                closed_tx.send(()).unwrap();
            });
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                read_head(&mut stream).await;
                let text = format!("{HEAD}content-length: 2\r\n\r\nok");
                stream.write_all(text.as_bytes()).await.unwrap();
            }
        });
        let settings = ClientSettings {
            max_answer_bytes: 1000,
            idle_timeout: Duration::from_secs(60),
            ..ClientSettings::default()
        };
        Self {
            accepted_bytes,
            client: UpstreamClient::new(address, settings),
            closed,
        }
    }

    /// Waits until the client has closed the first connection, and checks that it took few bytes and that other requests
    /// are answered.
    async fn check(&mut self, name: &str) {
        self.closed.recv().await.unwrap();
        let accepted_bytes = self.accepted_bytes.load(Ordering::Relaxed);
        assert!(
            accepted_bytes < MAX_ACCEPTED_BYTES,
            "{name}: {accepted_bytes} bytes"
        );
        let next = self
            .client
            .dispatch(request("/"), distant_deadline())
            .await
            .unwrap();
        assert_eq!(next.body, "ok", "{name}");
    }
}

async fn read_head(stream: &mut TcpStream) {
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\n") {
        received.push(stream.read_u8().await.unwrap());
    }
}

/// Sends an answer until the client closes the connection.
async fn send_endlessly(
    mut stream: TcpStream,
    answer: EndlessAnswer,
    is_trickled: bool,
    accepted_bytes: &AtomicUsize,
) {
    if stream.write_all(answer.beginning.as_bytes()).await.is_err() {
        return;
    }
    let text = if is_trickled {
        answer.repeated.to_owned()
    } else {
        answer.repeated.repeat(1000)
    };
    while stream.write_all(text.as_bytes()).await.is_ok() {
        accepted_bytes.fetch_add(text.len(), Ordering::Relaxed);
        if is_trickled {
            tokio::time::sleep(TRICKLE_PAUSE).await;
        }
    }
}

#[tokio::test]
async fn answers_without_end_fail_and_close_their_connection() {
    for answer in endless_answers() {
        let name = format!("{:?}, then {:?}", answer.beginning, answer.repeated);
        let mut upstream = EndlessUpstream::start(answer, false).await;
        let result = upstream
            .client
            .dispatch(request("/"), distant_deadline())
            .await;
        let error = result.unwrap_err();
        assert!(!error.is_not_run(), "{name}: {error}");
        upstream.check(&name).await;
    }
}

#[tokio::test]
async fn answers_that_trickle_without_end_fail_at_the_deadline() {
    for answer in endless_answers() {
        let name = format!("{:?}, then {:?}", answer.beginning, answer.repeated);
        let mut upstream = EndlessUpstream::start(answer, true).await;
        let deadline = Instant::now() + TRICKLED_DEADLINE;
        let result = upstream.client.dispatch(request("/"), deadline).await;
        let error = result.unwrap_err();
        assert!(!error.is_not_run(), "{name}: {error}");
        upstream.check(&name).await;
    }
}

#[tokio::test]
async fn bytes_without_end_after_an_answer_belong_to_no_request() {
    let answer = EndlessAnswer {
        beginning: format!("{HEAD}content-length: 4\r\n\r\nbody"),
        repeated: "HTTP/1.1 200 OK\r\nskylark-request-id: id-1\r\ncontent-length: 5\r\n\r\nother",
    };
    let mut upstream = EndlessUpstream::start(answer, false).await;
    let first = upstream
        .client
        .dispatch(request("/"), distant_deadline())
        .await
        .unwrap();
    assert_eq!(first.body, "body");
    let second = upstream
        .client
        .dispatch(request("/"), distant_deadline())
        .await
        .unwrap();
    assert_eq!(second.body, "ok");
    upstream.check("bytes after an answer").await;
}

/// Starts an upstream that sends 900 bytes of a body of 1,000 bytes on each connection, and then nothing.
async fn spawn_stalling_upstream() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                read_head(&mut stream).await;
                let body = "x".repeat(900);
                let text = format!("{HEAD}content-length: 1000\r\n\r\n{body}");
                stream.write_all(text.as_bytes()).await.unwrap();
                stream.read_to_end(&mut Vec::new()).await
            });
        }
    });
    address
}

// Guards against answers that are each within their limit but fill the memory together.
#[tokio::test]
async fn answers_that_are_received_at_once_take_limited_memory_together() {
    let settings = ClientSettings {
        max_answer_bytes: 1000,
        max_total_answer_bytes: 1500,
        ..ClientSettings::default()
    };
    let client = UpstreamClient::new(spawn_stalling_upstream().await, settings);
    for _ in 0..2 {
        let deadline = Instant::now() + TRICKLED_DEADLINE;
        let (first, second) = tokio::join!(
            client.dispatch(request("/"), deadline),
            client.dispatch(request("/"), deadline)
        );
        let mut errors = [first.unwrap_err(), second.unwrap_err()].map(|error| error.to_string());
        errors.sort();
        assert_eq!(
            errors,
            [
                "the answers that are being received take 1500 bytes: the request ran",
                "the upstream did not end its answer in time: the request ran"
            ]
        );
    }
}
