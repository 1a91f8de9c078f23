//! Evidence that the process of an upstream has ended.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use upstream::ClientSettings;
use upstream::Dialect;
use upstream::UpstreamClient;

fn client(address: SocketAddr, has_control_interface: bool) -> UpstreamClient {
    let settings = ClientSettings {
        dialect: Arc::new(Dialect {
            has_control_interface,
            ..Dialect::default()
        }),
        ..ClientSettings::default()
    };
    UpstreamClient::new(address, settings)
}

/// Starts an upstream that writes `answer` on each connection and closes it, and returns its address.
async fn spawn_closing_upstream(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

/// Starts an upstream that answers each request, and returns its address.
async fn spawn_answering_upstream(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let has_request = stream
                .read(&mut [0; 4_096])
                .await
                .is_ok_and(|read| read > 0);
            if has_request {
                stream.write_all(answer.as_bytes()).await.unwrap();
            }
        }
    });
    address
}

/// Starts an upstream that reads without answering, and returns its address.
async fn spawn_silent_upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move { stream.read_to_end(&mut Vec::new()).await });
        }
    });
    address
}

#[tokio::test]
async fn an_address_that_refuses_connections_shows_the_end_of_a_process() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert!(client(address, true).has_ended("b9c1").await);
    assert!(client(address, false).has_ended("b9c1").await);
}

#[tokio::test]
async fn another_process_at_the_address_shows_the_end_of_the_first() {
    let body =
        r#"{"clock_ms": 1, "draining": false, "instance": "b9c1", "load": 0.5, "running": 1}"#;
    let length = body.len();
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
    let address = spawn_answering_upstream(answer).await;
    assert!(!client(address, true).has_ended("b9c1").await);
    assert!(client(address, true).has_ended("a7f0").await);
}

// Guards against spoilt answers, refusals and silence counting as crashes.
#[tokio::test]
async fn spoilt_answers_refusals_and_silence_show_nothing() {
    let full = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
    for answer in ["", "no response", full] {
        let address = spawn_closing_upstream(answer).await;
        assert!(!client(address, true).has_ended("b9c1").await, "{answer}");
        assert!(!client(address, false).has_ended("b9c1").await, "{answer}");
    }
    let silent = spawn_silent_upstream().await;
    assert!(!client(silent, false).has_ended("b9c1").await);
}
