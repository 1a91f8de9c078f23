//! Log service that sends fixed responses.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;

/// Answers every request with the same text and closes the connection.
pub(crate) struct LogServer {
    pub(crate) address: String,
    requests: Arc<Mutex<Vec<String>>>,
}

impl LogServer {
    /// Starts a service that responds with `status` and `body`.
    pub(crate) fn with_response(status: &str, body: &str) -> Self {
        let length = body.len();
        Self::with_raw_response(format!(
            "HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
        ))
    }

    /// Starts a service that reads each request and sends `text` as it is.
    pub(crate) fn with_raw_response(text: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let seen = requests.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                seen.lock().unwrap().push(read_request(&mut stream));
                let _ = stream.write_all(text.as_bytes());
            }
        });
        Self { address, requests }
    }

    /// Returns an address at which no process listens.
    pub(crate) fn unused_address() -> String {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.local_addr().unwrap().to_string()
    }

    /// Returns the request line and the body of each request.
    pub(crate) fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

/// Reads a request and returns its request line and its body.
pub(crate) fn read_request(stream: &mut TcpStream) -> String {
    let mut buf = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&buf).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "))
                .map_or(0, |length| length.parse().unwrap());
            if body.len() >= length {
                return format!("{} {body}", head.lines().next().unwrap());
            }
        }
        let mut chunk = [0; 1024];
        match stream.read(&mut chunk).unwrap() {
            0 => return text,
            count => buf.extend_from_slice(&chunk[..count]),
        }
    }
}
