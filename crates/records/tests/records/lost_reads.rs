//! Reads to which the log service never responds.

use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use records::AppendError;
use records::Batch;
use records::HttpLog;
use records::Log;
use records::ReadError;

/// Time for which the reads wait for records, far above the time limit of the tests.
const READ_WAIT: Duration = Duration::from_secs(120);

/// Time limit of a wait for a condition, far above what it needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a read at a service that accepts connections and is silent, and waits until the service has it.
fn start_read(listener: &TcpListener) -> (Arc<HttpLog>, JoinHandle<Result<Batch, ReadError>>) {
    let address = listener.local_addr().unwrap().to_string();
    let log = Arc::new(HttpLog::new(vec![address], Duration::from_millis(200)));
    let reader = Arc::clone(&log);
    let read = thread::spawn(move || reader.read(1, 10, READ_WAIT));
    let (stream, _) = listener.accept().unwrap();
    // The connection stays open to the end of the test.
    std::mem::forget(stream);
    (log, read)
}

fn expect_unavailable(read: JoinHandle<Result<Batch, ReadError>>) {
    let started = Instant::now();
    while !read.is_finished() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "the read still waits");
        thread::sleep(Duration::from_millis(5));
    }
    let error = read.join().unwrap().unwrap_err();
    assert!(matches!(error, ReadError::Unavailable(_)), "{error}");
}

#[test]
fn an_overdue_read_is_ended() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (log, read) = start_read(&listener);
    assert_eq!(log.end_overdue_reads(WAIT_TIMEOUT), 0);
    assert!(!read.is_finished());
    // The service accepts the connection before the read counts as waiting.
    let started = Instant::now();
    let mut ended = 0;
    while ended == 0 && started.elapsed() < WAIT_TIMEOUT {
        ended = log.end_overdue_reads(Duration::ZERO);
    }
    assert_eq!(ended, 1);
    expect_unavailable(read);
}

#[test]
fn an_append_without_a_response_ends_the_reads_that_wait() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (log, read) = start_read(&listener);
    let appended = log.append(b"a record");
    assert!(matches!(appended, Err(AppendError::Unknown(_))));
    expect_unavailable(read);
}
