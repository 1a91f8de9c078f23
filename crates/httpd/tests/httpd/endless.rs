//! Clients that send bytes without end.

use std::time::Duration;

use httpd::Limits;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::server::Server;

const HEAD: &str = "POST / HTTP/1.1\r\nhost: a\r\n";

/// Number of bytes that a client may get rid of: what the server reads and the kernel buffers.
const MAX_ACCEPTED_BYTES: usize = 16 << 20;

/// Timeout that ends requests whose bytes trickle in.
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Pause between two bytes of a request that trickles in.
const TRICKLE_PAUSE: Duration = Duration::from_millis(1);

/// Returns what clients send: a beginning, and a text that they repeat until the server closes the connection.
fn endless_requests() -> Vec<(String, &'static str)> {
    let chunked = format!("{HEAD}transfer-encoding: chunked\r\n\r\n");
    vec![
        (String::new(), "x"),
        ("POST /".to_owned(), "x"),
        (HEAD.to_owned(), "a: b\r\n"),
        (format!("{HEAD}a: "), "x"),
        (format!("{HEAD}content-length: 9999999999\r\n\r\n"), "x"),
        (chunked.clone(), "3\r\nabc\r\n"),
        (format!("{chunked}0"), "0"),
        (format!("{chunked}3;"), "x"),
        (format!("{chunked}3\r\nabc\r\n0\r\n"), "a: b\r\n"),
        (format!("{chunked}3\r\nabc\r\n0\r\na: "), "x"),
    ]
}

/// Sends a text again and again until the server closes the connection, and returns the number of bytes sent.
async fn send_endlessly(mut stream: TcpStream, text: &str, pause: Option<Duration>) -> usize {
    let mut sent_bytes = 0;
    while stream.write_all(text.as_bytes()).await.is_ok() {
        sent_bytes += text.len();
        if let Some(pause) = pause {
            tokio::time::sleep(pause).await;
        }
    }
    sent_bytes
}

#[tokio::test]
async fn requests_without_end_are_cut_off_at_a_number_of_bytes() {
    for (beginning, repeated) in endless_requests() {
        let limits = Limits {
            body_bytes: 1000,
            header_timeout: Duration::from_secs(60),
            request_timeout: Duration::from_secs(60),
            ..Limits::default()
        };
        let server = Server::start(limits).await;
        let mut stream = server.connect().await;
        stream.write_all(beginning.as_bytes()).await.unwrap();
        let sent_bytes = send_endlessly(stream, &repeated.repeat(1000), None).await;
        assert!(
            sent_bytes < MAX_ACCEPTED_BYTES,
            "{beginning:?}, then {repeated:?}: {sent_bytes} bytes"
        );
        server.wait_until_served().await;
    }
}

#[tokio::test]
async fn requests_that_trickle_without_end_are_cut_off_at_a_timeout() {
    for (beginning, repeated) in endless_requests() {
        let limits = Limits {
            header_timeout: SHORT_TIMEOUT,
            request_timeout: SHORT_TIMEOUT,
            ..Limits::default()
        };
        let server = Server::start(limits).await;
        let mut stream = server.connect().await;
        stream.write_all(beginning.as_bytes()).await.unwrap();
        send_endlessly(stream, repeated, Some(TRICKLE_PAUSE)).await;
        server.wait_until_served().await;
    }
}
