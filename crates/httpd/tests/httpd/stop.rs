//! Tests of the graceful stop.

use httpd::Limits;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

use crate::server::Server;
use crate::server::read_to_end;

#[tokio::test]
async fn stop_answers_running_and_in_flight_requests() {
    let server = Server::start(Limits::default()).await;
    let mut running = server.connect().await;
    running
        .write_all(b"GET /wait HTTP/1.1\r\n\r\n")
        .await
        .unwrap();
    server.handler.started.notified().await;
    let mut reused = server.connect().await;
    reused.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    let mut first = [0; 15];
    reused.read_exact(&mut first).await.unwrap();
    let mut idle = server.connect().await;

    reused.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    server.stop.cancel();
    let reused = read_to_end(&mut reused).await;
    assert!(reused.contains("200 OK\nconnection: close"), "{reused}");
    assert_eq!(read_to_end(&mut idle).await, "");
    assert!(!server.task.is_finished());

    server.handler.release.notify_one();
    let answer = read_to_end(&mut running).await;
    assert!(
        answer.starts_with("HTTP/1.1 200 OK\nconnection: close"),
        "{answer}"
    );
    server.task.await.unwrap();
}

#[tokio::test]
async fn stopped_server_accepts_no_connections() {
    let server = Server::start(Limits::default()).await;
    server.stop.cancel();
    server.task.await.unwrap();
    assert!(tokio::net::TcpStream::connect(server.addr).await.is_err());
}
