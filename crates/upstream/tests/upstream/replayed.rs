//! Tests of upstreams that write an earlier answer once more on a kept connection.

use std::net::SocketAddr;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use upstream::ClientSettings;
use upstream::DispatchError;
use upstream::Request;
use upstream::UpstreamClient;

use crate::fake_upstream::distant_deadline;
use crate::fake_upstream::read_request;
use crate::fake_upstream::request;

/// Starts an upstream that answers the first request with a refusal of `id-1`, writes it again in place of the answers to all
/// further requests on that connection, and runs requests on other connections.
async fn start_replaying() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut first, _) = listener.accept().await.unwrap();
        tokio::spawn(async move {
            let refusal = "HTTP/1.1 503 Busy\r\nskylark-request-id: id-1\r\nskylark-not-run: shed\r\ncontent-length: 0\r\n\r\n";
            while read_request(&mut first).await.is_some() {
                first.write_all(refusal.as_bytes()).await.unwrap();
            }
        });
        let (mut next, _) = listener.accept().await.unwrap();
        while let Some(text) = read_request(&mut next).await {
            let id = text
                .lines()
                .find(|line| line.contains("request-id"))
                .unwrap();
            let answer = format!("HTTP/1.1 200 OK\r\n{id}\r\ncontent-length: 3\r\n\r\nran");
            next.write_all(answer.as_bytes()).await.unwrap();
        }
    });
    address
}

fn unsafe_request(id: &str) -> Request {
    Request {
        idempotent: false,
        request_id: id.to_owned(),
        ..request("/")
    }
}

#[tokio::test]
async fn a_refusal_that_is_written_again_never_refuses_a_retry_of_the_same_request() {
    let address = start_replaying().await;
    let client = UpstreamClient::new(address, ClientSettings::default());
    let first = client
        .dispatch(unsafe_request("id-1"), distant_deadline())
        .await;
    assert!(matches!(first, Err(DispatchError::NotRun(_))), "{first:?}");
    let retried = client
        .dispatch(unsafe_request("id-1"), distant_deadline())
        .await;
    assert_eq!(retried.unwrap().body, "ran");
}

#[tokio::test]
async fn a_refusal_that_is_written_again_does_not_refuse_the_next_request() {
    let address = start_replaying().await;
    let client = UpstreamClient::new(address, ClientSettings::default());
    let _ = client
        .dispatch(unsafe_request("id-1"), distant_deadline())
        .await;
    let next = client
        .dispatch(unsafe_request("id-2"), distant_deadline())
        .await;
    assert!(
        matches!(next, Err(DispatchError::MismatchedAnswer(_))),
        "{next:?}"
    );
}

#[tokio::test]
async fn a_connection_is_kept_for_other_requests_after_a_refusal() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        while let Some(text) = read_request(&mut stream).await {
            let id = text
                .lines()
                .find(|line| line.contains("request-id"))
                .unwrap();
            let refusal = format!(
                "HTTP/1.1 503 Busy\r\n{id}\r\nskylark-not-run: shed\r\ncontent-length: 0\r\n\r\n"
            );
            stream.write_all(refusal.as_bytes()).await.unwrap();
        }
    });
    let client = UpstreamClient::new(address, ClientSettings::default());
    for number in 0..20 {
        let req = unsafe_request(&format!("id-{number}"));
        let refused = client.dispatch(req, distant_deadline()).await;
        assert!(
            matches!(refused, Err(DispatchError::NotRun(_))),
            "{refused:?}"
        );
    }
    assert_eq!(client.open_connections(), 1);
}
