//! Links without traffic, and links whose peer has become silent.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use wire::Barred;
use wire::Call;
use wire::CallError;
use wire::IncomingMessage;
use wire::LinkSettings;
use wire::RequestStatus;
use wire::StatusQuery;

use crate::forwarder::Forwarder;
use crate::link_pair::LONG_TIMEOUT;
use crate::link_pair::dispatch;
use crate::link_pair::open_through_forwarder;
use crate::link_pair::secret;

fn settings() -> LinkSettings {
    LinkSettings {
        ping_interval: Duration::from_millis(10),
        max_queued_bytes: 1000,
        ..LinkSettings::default()
    }
}

#[tokio::test]
async fn slow_reply_does_not_close_a_link_whose_peer_answers_pings() {
    let forwarder = Forwarder::default();
    let frames = forwarder.received_frames.clone();
    let secret = secret(1);
    let settings = LinkSettings {
        ping_interval: Duration::from_millis(20),
        silence_timeout: Duration::from_millis(500),
        ..LinkSettings::default()
    };
    let pair = open_through_forwarder(forwarder, [&secret, &secret], &settings).await;
    let (left, _incoming) = pair.connected.unwrap();
    let (_right, mut right_incoming) = pair.accepted.unwrap();
    let serve = async {
        let Some(IncomingMessage::Call { responder, .. }) = right_incoming.recv().await else {
            panic!("no call");
        };
        while frames.load(Ordering::Relaxed) < 60 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        responder
            .reply(RequestStatus::Barred(Barred::default()))
            .unwrap();
    };
    let (request_status, ()) = tokio::join!(
        left.query_status(StatusQuery::default(), LONG_TIMEOUT),
        serve
    );
    assert_eq!(request_status, Ok(RequestStatus::Barred(Barred::default())));
}

#[tokio::test]
async fn idle_link_sends_no_frames_and_closes() {
    let forwarder = Forwarder::default();
    let frames = forwarder.received_frames.clone();
    let secret = secret(1);
    let settings = LinkSettings {
        idle_timeout: Duration::from_millis(200),
        ..settings()
    };
    let pair = open_through_forwarder(forwarder, [&secret, &secret], &settings).await;
    let (left, _incoming) = pair.connected.unwrap();
    let (right, _right_incoming) = pair.accepted.unwrap();
    left.closed().await;
    right.closed().await;
    assert_eq!(frames.load(Ordering::Relaxed), 2, "hello and proof");
}

#[tokio::test]
async fn frame_loss_in_one_direction_closes_both_ends_and_leaves_calls_unknown() {
    let forwarder = Forwarder::default();
    let drop_frames = forwarder.drop_frames.clone();
    let secret = secret(1);
    let pair = open_through_forwarder(forwarder, [&secret, &secret], &settings()).await;
    let (left, _incoming) = pair.connected.unwrap();
    let (right, _right_incoming) = pair.accepted.unwrap();
    drop_frames.store(true, Ordering::Relaxed);
    let call = Call::Dispatch(Box::new(dispatch("1")));
    assert_eq!(left.call(call, LONG_TIMEOUT).await, Err(CallError::Unknown));
    left.closed().await;
    right.closed().await;
    let outcome = left.dispatch(dispatch("2"), LONG_TIMEOUT).await;
    assert_eq!(outcome, Err(CallError::NotSent));
}

#[tokio::test]
async fn full_queue_rejects_calls() {
    let secret = secret(1);
    let pair = open_through_forwarder(Forwarder::default(), [&secret, &secret], &settings()).await;
    let (left, _incoming) = pair.connected.unwrap();
    let (_right, _right_incoming) = pair.accepted.unwrap();
    let mut large = dispatch("1");
    large.body = Bytes::from(vec![0; 2000]);
    let (_, second) = tokio::join!(
        left.dispatch(large, Duration::from_millis(1)),
        left.dispatch(dispatch("2"), LONG_TIMEOUT),
    );
    assert_eq!(second, Err(CallError::NotSent));
}

/// Each call times out long before the silence timeout. The time that successive calls wait must
/// add up, so that the link still closes.
#[tokio::test]
async fn short_calls_together_detect_a_silent_peer() {
    let forwarder = Forwarder::default();
    let drop_frames = forwarder.drop_frames.clone();
    let secret = secret(1);
    let settings = LinkSettings {
        silence_timeout: Duration::from_millis(300),
        ..settings()
    };
    let pair = open_through_forwarder(forwarder, [&secret, &secret], &settings).await;
    let (left, _incoming) = pair.connected.unwrap();
    drop_frames.store(true, Ordering::Relaxed);
    while !left.is_closed() {
        let result = left
            .query_status(StatusQuery::default(), Duration::from_millis(20))
            .await;
        assert!(result.is_err());
    }
}
