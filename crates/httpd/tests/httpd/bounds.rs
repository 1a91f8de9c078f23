//! Limits on clients, and the refusals when they are exceeded.

use std::time::Duration;

use httpd::Limits;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::server::Server;
use crate::server::read_to_end;

const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

fn limits() -> Limits {
    Limits {
        body_bytes: 100,
        header_bytes: 8192,
        ..Limits::default()
    }
}

#[tokio::test]
async fn refusals_name_the_limit() {
    let server = Server::start(limits()).await;
    let mut report = String::new();
    let long = "x".repeat(101);
    for (name, text) in [
        (
            "length over the limit",
            "POST / HTTP/1.1\r\ncontent-length: 101\r\n\r\n".to_owned(),
        ),
        (
            "chunks over the limit",
            format!(
                "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n65\r\n{long}\r\n0\r\n\r\n"
            ),
        ),
        (
            "headers over the limit",
            format!("GET / HTTP/1.1\r\na: {}", "x".repeat(9000)),
        ),
        ("not HTTP", "hello\r\n\r\n".to_owned()),
        (
            "body within the limit",
            "POST / HTTP/1.1\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok".to_owned(),
        ),
    ] {
        let answer = server.send_and_read(&text).await;
        report += &format!("# {name}\n{answer}\n\n");
    }
    insta::assert_snapshot!(report);
}

#[tokio::test]
async fn slow_requests_are_refused() {
    let limits = Limits {
        header_timeout: SHORT_TIMEOUT,
        request_timeout: SHORT_TIMEOUT,
        ..limits()
    };
    let server = Server::start(limits).await;
    let headers = server.send_and_read("GET / HTTP/1.1\r\nhost:").await;
    let body = server
        .send_and_read("POST / HTTP/1.1\r\ncontent-length: 10\r\n\r\nabc")
        .await;
    let nothing = server.send_and_read("").await;
    insta::assert_snapshot!(format!(
        "# headers\n{headers}\n\n# body\n{body}\n\n# nothing\n{nothing}"
    ));
}

#[tokio::test]
async fn slow_headers_do_not_extend_the_header_timeout() {
    let limits = Limits {
        header_timeout: SHORT_TIMEOUT,
        ..limits()
    };
    let server = Server::start(limits).await;
    let mut stream = server.connect().await;
    stream.write_all(b"GET / HTTP/1.1\r\na: ").await.unwrap();
    while stream.write_all(b"x").await.is_ok() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn connections_over_the_limit_are_refused_until_one_closes() {
    let limits = Limits {
        connections: 2,
        ..limits()
    };
    let server = Server::start(limits).await;
    let (first, second) = (server.connect().await, server.connect().await);
    let refused = server.send_and_read("GET / HTTP/1.1\r\n\r\n").await;
    insta::assert_snapshot!(refused);
    drop(first);
    server.wait_until_served().await;
    drop(second);
}

#[tokio::test]
async fn client_that_does_not_read_its_answer_is_disconnected() {
    let limits = Limits {
        answer_timeout: SHORT_TIMEOUT,
        connections: 1,
        ..limits()
    };
    let server = Server::start(limits).await;
    let mut stream = server.connect().await;
    stream
        .write_all(b"GET /large HTTP/1.1\r\n\r\n")
        .await
        .unwrap();
    server.wait_until_served().await;
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received).await;
    assert!(received.len() < 32 << 20);
}

#[tokio::test]
async fn held_bytes_of_all_connections_are_bounded() {
    let limits = Limits {
        body_bytes: 100,
        held_bytes: 150,
        ..limits()
    };
    let server = Server::start(limits).await;
    let body = "x".repeat(100);
    let send = |path: &str| {
        format!("POST {path} HTTP/1.1\r\nconnection: close\r\ncontent-length: 100\r\n\r\n{body}")
    };
    let waiting = send("/wait");
    let busy = async {
        server.handler.started.notified().await;
        let answer = server.send_and_read(&send("/")).await;
        server.handler.release.notify_one();
        answer
    };
    let (first, busy) = tokio::join!(server.send_and_read(&waiting), busy);
    assert!(first.starts_with("HTTP/1.1 200 OK"));
    insta::assert_snapshot!(busy);
    assert!(
        server
            .send_and_read(&send("/"))
            .await
            .starts_with("HTTP/1.1 200 OK")
    );
}

#[tokio::test]
async fn disconnect_drops_the_request() {
    let server = Server::start(limits()).await;
    let mut stream = server.connect().await;
    stream
        .write_all(b"GET /wait HTTP/1.1\r\n\r\n")
        .await
        .unwrap();
    server.handler.started.notified().await;
    drop(stream);
    server.handler.dropped.notified().await;
}

#[tokio::test]
async fn handler_gets_the_address_of_the_client() {
    let server = Server::start(limits()).await;
    let mut stream = server.connect().await;
    let client = stream.local_addr().unwrap().to_string();
    let text = "GET /address HTTP/1.1\r\nconnection: close\r\n\r\n";
    stream.write_all(text.as_bytes()).await.unwrap();
    let answer = read_to_end(&mut stream).await;
    assert!(answer.ends_with(&client), "{answer}");
}

#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let server = Server::start(limits()).await;
    let mut text = String::new();
    for number in 0..50 {
        text += &format!("POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\n{number:02}");
    }
    let mut stream = server.connect().await;
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
        .write_all(b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n")
        .await
        .unwrap();
    let answers = read_to_end(&mut stream).await;
    let bodies: Vec<_> = answers
        .split("HTTP/1.1 200 OK")
        .filter_map(|answer| answer.split("\n\n").nth(1))
        .filter(|body| !body.is_empty())
        .collect();
    let expected: Vec<_> = (0..50).map(|number| format!("{number:02}")).collect();
    assert_eq!(bodies, expected);
}

#[tokio::test]
async fn many_connections_may_arrive_before_the_first_is_accepted() {
    let listener = httpd::listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let addr = listener.local_addr().unwrap();
    let mut waiting = Vec::new();
    for _ in 0..300 {
        waiting.push(TcpStream::connect(addr).await.unwrap());
    }
    assert!(httpd::listen(addr).is_err(), "the address is taken");
}

#[tokio::test]
async fn used_connection_may_idle_longer_than_the_header_timeout() {
    let limits = Limits {
        header_timeout: SHORT_TIMEOUT,
        ..limits()
    };
    let server = Server::start(limits).await;
    let mut stream = server.connect().await;
    let request = b"POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\nok";
    let mut buf = [0; 4096];
    for _ in 0..3 {
        stream.write_all(request).await.unwrap();
        let length = stream.read(&mut buf).await.unwrap();
        assert!(buf[..length].starts_with(b"HTTP/1.1 200"));
        tokio::time::sleep(2 * SHORT_TIMEOUT).await;
    }
}

#[tokio::test]
async fn a_large_body_that_arrives_with_its_headers_does_not_count_as_headers() {
    const BODY_BYTES: usize = 64 << 10;
    const REQUESTS: usize = 4;
    let limits = Limits {
        body_bytes: BODY_BYTES,
        ..limits()
    };
    let server = Server::start(limits).await;
    let mut stream = server.connect().await;
    let head = format!("POST / HTTP/1.1\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
    let mut req = head.into_bytes();
    req.resize(req.len() + BODY_BYTES, b'x');
    for request in 0..REQUESTS {
        let (mut rx, mut tx) = stream.split();
        let mut answer = Vec::new();
        let reading = async {
            let mut buf = vec![0; BODY_BYTES];
            while answer.len() < BODY_BYTES {
                match rx.read(&mut buf).await {
                    Ok(count) if count > 0 => answer.extend_from_slice(&buf[..count]),
                    _ => break,
                }
            }
        };
        let (written, ()) = tokio::join!(tx.write_all(&req), reading);
        written.unwrap();
        let answer = String::from_utf8_lossy(&answer);
        let status = answer.lines().next().unwrap_or_default();
        assert_eq!(status, "HTTP/1.1 200 OK", "request {request}");
        // The rest of the answer, whose length depends on its headers.
        let rest = answer.find("\r\n\r\n").unwrap() + 4 + BODY_BYTES - answer.len();
        let mut rest = vec![0; rest];
        stream.read_exact(&mut rest).await.unwrap();
    }
}
