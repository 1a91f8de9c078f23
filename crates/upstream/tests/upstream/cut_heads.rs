//! Tests of answers whose connection ends at any byte.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use upstream::ClientSettings;
use upstream::Request;
use upstream::UpstreamClient;

use crate::fake_upstream::distant_deadline;
use crate::fake_upstream::read_request;
use crate::fake_upstream::request;

/// Returns the result of a request whose answer is `sent`, followed by the end of the connection.
async fn answer_of(sent: &[u8], method: &str) -> Result<upstream::Answer, upstream::DispatchError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = sent.to_vec();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_request(&mut stream).await.unwrap();
        stream.write_all(&sent).await.unwrap();
    });
    let client = UpstreamClient::new(address, ClientSettings::default());
    let req = Request {
        idempotent: false,
        method: method.to_owned(),
        ..request("/")
    };
    client.dispatch(req, distant_deadline()).await
}

/// Asserts that no answer arrives whose connection ends before `whole` is complete.
async fn assert_only_whole_answers(whole: &str) {
    for method in ["GET", "POST"] {
        for length in 0..whole.len() {
            let result = answer_of(&whole.as_bytes()[..length], method).await;
            let sent = &whole[..length];
            let error = result.expect_err(&format!("{method} is answered by {sent:?}"));
            assert!(!error.is_not_run(), "{method}, {sent:?}: {error:?}");
        }
        let result = answer_of(whole.as_bytes(), method).await;
        assert_eq!(result.unwrap().body, "whole");
    }
}

#[tokio::test]
async fn an_answer_with_a_length_that_ends_at_any_byte_is_not_passed_on() {
    assert_only_whole_answers(
        "HTTP/1.1 200 OK\r\nskylark-request-id: id-1\r\nx-stamp: 1\r\ncontent-length: 5\r\n\r\nwhole",
    )
    .await;
    assert_only_whole_answers(
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nskylark-request-id: id-1\r\nx-stamp: 1\r\n\r\nwhole",
    )
    .await;
    assert_only_whole_answers(
        "HTTP/1.1 200 OK\ncontent-length: 5\nskylark-request-id: id-1\n\nwhole",
    )
    .await;
}

#[tokio::test]
async fn an_answer_in_chunks_that_ends_at_any_byte_is_not_passed_on() {
    assert_only_whole_answers(
        "HTTP/1.1 200 OK\r\nskylark-request-id: id-1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n",
    )
    .await;
}

#[tokio::test]
async fn an_answer_after_an_interim_answer_that_ends_at_any_byte_is_not_passed_on() {
    assert_only_whole_answers(
        "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nskylark-request-id: id-1\r\ncontent-length: 5\r\n\r\nwhole",
    )
    .await;
}
