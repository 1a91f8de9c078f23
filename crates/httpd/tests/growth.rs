//! What clients that never end their requests can make the server hold.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use httpd::Handler;
use httpd::Limits;
use httpd::RefusalReason;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio_util::sync::CancellationToken;

const HALF_OPEN: usize = 64;
const HEADER_BYTES: usize = 32 << 20;
const WORKERS: usize = 2;

struct Empty;

impl Handler for Empty {
    async fn handle(&self, _req: Request<Bytes>) -> Response<Bytes> {
        Response::default()
    }

    fn refuse(&self, _refused: RefusalReason) -> Response<Bytes> {
        Response::default()
    }
}

fn threads() -> usize {
    std::fs::read_dir("/proc/self/task").unwrap().count()
}

fn half_open(addr: SocketAddr) -> Vec<TcpStream> {
    (0..HALF_OPEN)
        .map(|_| {
            let mut stream = TcpStream::connect(addr).unwrap();
            stream.write_all(b"GET / HTTP/1.1\r\nhost:").unwrap();
            stream
        })
        .collect()
}

/// Sends a header without an end, and returns how much of it the server takes before it closes.
fn header_bytes_taken(addr: SocketAddr) -> usize {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\na: ").unwrap();
    let chunk = vec![b'x'; 64 << 10];
    let mut taken = 0;
    while taken < HEADER_BYTES && stream.write_all(&chunk).is_ok() {
        taken += chunk.len();
    }
    taken
}

fn wait_for_answer(addr: SocketAddr) {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"));
}

#[test]
fn half_open_requests_and_long_headers_are_bounded() {
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build()
        .unwrap();
    let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let addr = listener.local_addr().unwrap();
    let limits = Limits {
        header_timeout: Duration::from_millis(500),
        ..Limits::default()
    };
    let stop = CancellationToken::new();
    runtime.spawn(httpd::serve(listener, limits, Arc::new(Empty), stop));
    let before = threads();
    let clients = half_open(addr);
    wait_for_answer(addr);
    assert!(threads() <= before);
    assert!(header_bytes_taken(addr) < HEADER_BYTES / 2);
    for mut client in clients {
        let mut answer = String::new();
        client.read_to_string(&mut answer).unwrap();
    }
}
