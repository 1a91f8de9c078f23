//! Limits on the threads and memory used by clients that never complete their requests.

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

const UNFINISHED_REQUESTS: usize = 64;
const MAX_SENT_HEADER_BYTES: usize = 32 << 20;
const WORKER_THREADS: usize = 2;

struct EmptyHandler;

impl Handler for EmptyHandler {
    async fn handle(&self, _req: Request<Bytes>) -> Response<Bytes> {
        Response::default()
    }

    fn refuse(&self, _reason: RefusalReason) -> Response<Bytes> {
        Response::default()
    }
}

fn count_threads() -> usize {
    std::fs::read_dir("/proc/self/task").unwrap().count()
}

fn open_unfinished_requests(addr: SocketAddr) -> Vec<TcpStream> {
    (0..UNFINISHED_REQUESTS)
        .map(|_| {
            let mut stream = TcpStream::connect(addr).unwrap();
            stream.write_all(b"GET / HTTP/1.1\r\nhost:").unwrap();
            stream
        })
        .collect()
}

/// Sends an endless header, and returns how many bytes were written before the server closed the connection.
fn count_accepted_header_bytes(addr: SocketAddr) -> usize {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\na: ").unwrap();
    let chunk = vec![b'x'; 64 << 10];
    let mut accepted = 0;
    while accepted < MAX_SENT_HEADER_BYTES && stream.write_all(&chunk).is_ok() {
        accepted += chunk.len();
    }
    accepted
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
fn unfinished_requests_and_long_headers_are_bounded() {
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
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
    runtime.spawn(httpd::serve(listener, limits, Arc::new(EmptyHandler), stop));
    let threads_before = count_threads();
    let clients = open_unfinished_requests(addr);
    wait_for_answer(addr);
    assert!(count_threads() <= threads_before);
    assert!(count_accepted_header_bytes(addr) < MAX_SENT_HEADER_BYTES / 2);
    for mut client in clients {
        let mut answer = String::new();
        client.read_to_string(&mut answer).unwrap();
    }
}
