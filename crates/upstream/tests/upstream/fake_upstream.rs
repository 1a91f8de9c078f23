//! An upstream whose behaviour depends on the path of each request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use upstream::Request;

/// Returns a deadline that no test reaches.
pub(crate) fn distant_deadline() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

pub(crate) fn request(path: &str) -> Request {
    Request {
        idempotent: true,
        method: "GET".to_owned(),
        path_and_query: path.to_owned(),
        request_id: "id-1".to_owned(),
        ..Request::default()
    }
}

/// A request as the upstream received it.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) connection: usize,
    pub(crate) text: String,
}

#[derive(Debug, Default)]
struct State {
    open: usize,
    max_open: usize,
    received: Vec<ReceivedRequest>,
}

#[derive(Clone, Debug)]
pub(crate) struct FakeUpstream {
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl FakeUpstream {
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let fake = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
        };
        let accepting = fake.clone();
        tokio::spawn(async move {
            for connection in 1.. {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(accepting.clone().serve(stream, connection));
            }
        });
        fake
    }

    pub(crate) fn received(&self) -> Vec<ReceivedRequest> {
        self.state.lock().unwrap().received.clone()
    }

    /// Returns the largest number of connections that were open at once.
    pub(crate) fn max_open(&self) -> usize {
        self.state.lock().unwrap().max_open
    }

    /// Waits until a request whose text contains `part` has arrived.
    pub(crate) async fn wait_for(&self, part: &str) {
        while !self.received().iter().any(|req| req.text.contains(part)) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Waits until no connection is open.
    pub(crate) async fn wait_until_closed(&self) {
        while self.state.lock().unwrap().open > 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    async fn serve(self, mut stream: TcpStream, connection: usize) {
        {
            let mut state = self.state.lock().unwrap();
            state.open += 1;
            state.max_open = state.max_open.max(state.open);
        }
        let mut served = 0;
        while let Some(text) = read_request(&mut stream).await {
            served += 1;
            let is_lost = text.contains(" /once-a-connection ") && served > 1;
            let answer = answer(&text);
            let is_last = text.contains(" /last ");
            let req = ReceivedRequest { connection, text };
            self.state.lock().unwrap().received.push(req);
            match answer {
                Some(_) if is_lost => break,
                Some(answer) => stream.write_all(answer.as_bytes()).await.unwrap(),
                None => break,
            }
            if is_last {
                break;
            }
        }
        self.state.lock().unwrap().open -= 1;
    }
}

/// Reads a request, or returns `None` if the connection has closed.
pub(crate) async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut buf = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&buf).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = header(head, "content-length").map_or(0, |text| text.parse().unwrap());
            if body.len() >= length {
                return Some(text);
            }
        }
        let mut chunk = [0; 1024];
        match stream.read(&mut chunk).await {
            Ok(count) if count > 0 => buf.extend_from_slice(&chunk[..count]),
            _ => return None,
        }
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines()
        .filter_map(|line| line.split_once(": "))
        .find(|(found, _)| found.eq_ignore_ascii_case(name))
        .map(|(_, value)| value)
}

/// Returns the text to write as the answer, or `None` to close the connection without one.
fn answer(text: &str) -> Option<String> {
    let path = text.split(' ').nth(1).unwrap();
    let id = header(text, "skylark-request-id").unwrap_or_default();
    let answer = |status: &str, headers: &str, body: &str| {
        let length = body.len();
        Some(format!(
            "HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}"
        ))
    };
    let own = format!("skylark-request-id: {id}\r\n");
    match path {
        "/wrong-id" => answer("200 OK", "skylark-request-id: id-0\r\n", "other"),
        "/fence" => answer(
            "409 Conflict",
            &format!("{own}skylark-not-run: fence\r\n"),
            "",
        ),
        "/refusal-without-id" => answer("503 Busy", "skylark-not-run: shed\r\n", ""),
        "/head" => Some(format!("HTTP/1.1 200 OK\r\n{own}content-le")),
        "/large" => answer("200 OK", &own, &"x".repeat(2000)),
        "/lost" => None,
        "/named" => answer(
            "201 Created",
            &format!("{own}x-kept: 1\r\nconnection: x-dropped\r\nx-dropped: 1\r\n"),
            "body",
        ),
        "/shed" => answer("503 Busy", &format!("{own}skylark-not-run: shed\r\n"), ""),
        "/silent" => Some(String::new()),
        "/stuck" => Some(format!(
            "HTTP/1.1 200 OK\r\n{own}content-length: 9\r\n\r\nbod"
        )),
        "/truncated" => Some(format!(
            "HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunked\r\n\r\n3\r\nbod\r\nx"
        )),
        "/unframed" => Some(format!("HTTP/1.1 200 OK\r\n{own}\r\nbody")),
        "/v1/cancel" => answer("200 OK", "", r#"{"cancelled": true}"#),
        "/v1/drain" => answer("200 OK", "", r#"{"running": 2}"#),
        "/v1/grants" if text.contains(r#""sequence":1"#) => answer("409 Conflict", "", "{}"),
        "/v1/grants" => answer(
            "200 OK",
            "",
            r#"{"clock_ms": 5, "instance": "i", "running": {"shard:ordering:9": 1}, "new": 0}"#,
        ),
        "/v1/health" => answer("200 OK", "", r#"{"clock_ms": 5}"#),
        _ => answer("200 OK", &own, "body"),
    }
}
