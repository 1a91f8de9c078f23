//! Calls, notices and the closing of links.

use std::time::Duration;

use bytes::Bytes;
use wire::Acknowledge;
use wire::Answer;
use wire::Barred;
use wire::Call;
use wire::CallError;
use wire::Cancel;
use wire::Dispatch;
use wire::Handover;
use wire::HandoverReply;
use wire::Header;
use wire::IncomingMessage;
use wire::IncomingMessages;
use wire::LinkSettings;
use wire::Notice;
use wire::Outcome;
use wire::PullRecords;
use wire::PullSnapshot;
use wire::PulledRecord;
use wire::PulledRecords;
use wire::Reply;
use wire::RequestStatus;
use wire::Responder;
use wire::SnapshotChunk;
use wire::StatusQuery;
use wire::TakeTokens;
use wire::Tokens;
use wire::TokensOutcome;

use crate::link_pair::LONG_TIMEOUT;
use crate::link_pair::dispatch;
use crate::link_pair::open;

/// Length of a body that is written in many parts, in bytes.
const LONG_BODY_BYTES: usize = 3 << 20;

/// Number of times that the tasks of a link run before a call is dropped. Not all parts of a long body are written by then.
const YIELDS: usize = 2;

pub(crate) async fn next_call(incoming: &mut IncomingMessages) -> (Call, Responder) {
    match incoming.recv().await {
        Some(IncomingMessage::Call { call, responder }) => (call, responder),
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn replies_are_matched_to_calls_from_both_ends() {
    let [(left, mut left_incoming), (right, mut right_incoming)] =
        open(&LinkSettings::default()).await;
    assert_eq!((&*left.peer().vm, &*right.peer().vm), ("vm-2", "vm-1"));
    let serve_right = async {
        let (_, first) = next_call(&mut right_incoming).await;
        let (call, second) = next_call(&mut right_incoming).await;
        assert_eq!(call, Call::Dispatch(Box::new(dispatch("second"))));
        let answer = |status| {
            Outcome::Answer(Answer {
                status,
                ..Answer::default()
            })
        };
        second.reply(answer(202)).unwrap();
        first.reply(answer(201)).unwrap();
    };
    let serve_left = async {
        let (_, responder) = next_call(&mut left_incoming).await;
        responder
            .reply(RequestStatus::Barred(Barred::default()))
            .unwrap();
    };
    let (first, second, request_status, (), ()) = tokio::join!(
        left.dispatch(dispatch("first"), LONG_TIMEOUT),
        left.dispatch(dispatch("second"), LONG_TIMEOUT),
        right.query_status(StatusQuery::default(), LONG_TIMEOUT),
        serve_right,
        serve_left,
    );
    let status = |outcome| match outcome {
        Ok(Outcome::Answer(answer)) => answer.status,
        other => panic!("{other:?}"),
    };
    assert_eq!((status(first), status(second)), (201, 202));
    assert_eq!(request_status, Ok(RequestStatus::Barred(Barred::default())));
}

#[tokio::test]
async fn every_kind_of_call_receives_its_kind_of_reply() {
    let [(link, _incoming), (_right, mut incoming)] = open(&LinkSettings::default()).await;
    let tokens = Tokens {
        count: 3,
        expires_after_us: 200_000,
        next_refill_after_us: 10_000,
        fence: 7,
        number: 1,
    };
    let serve = tokio::spawn(async move {
        while let Some(IncomingMessage::Call { call, responder }) = incoming.recv().await {
            let reply: Reply = match call {
                Call::StatusQuery(_) => RequestStatus::Running.into(),
                Call::Dispatch(_) => Reply::PulledRecords(PulledRecords::default()),
                Call::Handover(_) => Reply::HandoverReply(HandoverReply { accepted: true }),
                Call::PullRecords(_) => Reply::PulledRecords(PulledRecords::default()),
                Call::PullSnapshot(_) => Reply::SnapshotChunk(SnapshotChunk::default()),
                Call::TakeTokens(_) => Reply::Tokens(tokens),
            };
            responder.reply(reply).unwrap();
        }
    });
    assert_eq!(
        link.query_status(StatusQuery::default(), LONG_TIMEOUT)
            .await,
        Ok(RequestStatus::Running)
    );
    assert_eq!(
        link.dispatch(dispatch("wrong reply"), LONG_TIMEOUT).await,
        Err(CallError::Unknown)
    );
    assert_eq!(
        link.hand_over(Handover::default(), LONG_TIMEOUT).await,
        Ok(HandoverReply { accepted: true })
    );
    assert_eq!(
        link.pull_records(PullRecords::default(), LONG_TIMEOUT)
            .await,
        Ok(PulledRecords::default())
    );
    assert_eq!(
        link.pull_snapshot(PullSnapshot::default(), LONG_TIMEOUT)
            .await,
        Ok(SnapshotChunk::default())
    );
    assert_eq!(
        link.take_tokens(TakeTokens::default(), LONG_TIMEOUT).await,
        Ok(TokensOutcome::Tokens(tokens))
    );
    link.close();
    serve.await.unwrap();
}

#[tokio::test]
async fn notices_arrive_in_order() {
    let [(left, _incoming), (_right, mut incoming)] = open(&LinkSettings::default()).await;
    for number in 0..3 {
        let request_ids = vec![number.to_string()];
        let acknowledge = Acknowledge { request_ids };
        left.notify(Notice::Acknowledge(acknowledge)).unwrap();
    }
    for number in 0..3 {
        let Some(IncomingMessage::Notice(Notice::Acknowledge(acknowledge))) = incoming.recv().await
        else {
            panic!("no acknowledgement");
        };
        assert_eq!(acknowledge.request_ids, [number.to_string()]);
    }
}

#[tokio::test]
async fn calls_that_end_without_a_reply_are_unknown() {
    let [(left, _incoming), (right, mut incoming)] = open(&LinkSettings::default()).await;
    let drop_call = async { drop(next_call(&mut incoming).await) };
    let (outcome, ()) = tokio::join!(left.dispatch(dispatch("1"), LONG_TIMEOUT), drop_call);
    assert_eq!(outcome, Err(CallError::Unknown));
    let late = left
        .query_status(StatusQuery::default(), Duration::from_millis(50))
        .await;
    assert_eq!(late, Err(CallError::Unknown));
    let close = async {
        let (_, _late) = next_call(&mut incoming).await;
        let (_, responder) = next_call(&mut incoming).await;
        right.close();
        responder
    };
    let (outcome, responder) = tokio::join!(left.dispatch(dispatch("2"), LONG_TIMEOUT), close);
    assert_eq!(outcome, Err(CallError::Unknown));
    assert_eq!(
        responder.reply(RequestStatus::Barred(Barred::default())),
        Err(CallError::NotSent)
    );
}

#[tokio::test]
async fn closed_link_sends_nothing() {
    let [(left, _incoming), (right, incoming)] = open(&LinkSettings::default()).await;
    drop((right, incoming));
    left.closed().await;
    let outcome = left.dispatch(dispatch("1"), LONG_TIMEOUT).await;
    assert_eq!(outcome, Err(CallError::NotSent));
    let notice = Notice::Cancel(Cancel::default());
    assert_eq!(left.notify(notice), Err(CallError::NotSent));
}

#[tokio::test]
async fn peer_with_too_many_calls_rejects_more() {
    let settings = LinkSettings {
        max_incoming_calls: 1,
        ..LinkSettings::default()
    };
    let [(left, _incoming), (_right, mut incoming)] = open(&settings).await;
    let second = async {
        let (_, responder) = next_call(&mut incoming).await;
        let outcome = left.dispatch(dispatch("2"), LONG_TIMEOUT).await;
        responder
            .reply(RequestStatus::Barred(Barred::default()))
            .unwrap();
        outcome
    };
    let (first, second) = tokio::join!(
        left.query_status(StatusQuery::default(), LONG_TIMEOUT),
        second
    );
    assert_eq!(first, Ok(RequestStatus::Barred(Barred::default())));
    assert_eq!(second, Err(CallError::Busy));
    assert!(CallError::Busy.is_not_run());
}

#[tokio::test]
async fn messages_longer_than_a_frame_are_not_sent() {
    let settings = LinkSettings {
        max_frame_bytes: 1000,
        ..LinkSettings::default()
    };
    let [(left, _incoming), (_right, mut incoming)] = open(&settings).await;
    let mut large = dispatch("1");
    large.body = Bytes::from(vec![0; 1000]);
    let outcome = left.dispatch(large, LONG_TIMEOUT).await;
    assert!(matches!(outcome, Err(CallError::TooLarge { .. })));
    let serve = async {
        let (_, responder) = next_call(&mut incoming).await;
        let body = Bytes::from(vec![0; 1000]);
        responder.reply(Outcome::Answer(Answer {
            body,
            ..Answer::default()
        }))
    };
    let (outcome, replied) = tokio::join!(left.dispatch(dispatch("2"), LONG_TIMEOUT), serve);
    assert_eq!(outcome, Err(CallError::Unknown));
    assert!(matches!(replied, Err(CallError::TooLarge { .. })));
    assert!(!left.is_closed());
}

#[tokio::test]
async fn records_that_do_not_fit_in_a_frame_are_omitted() {
    let settings = LinkSettings {
        max_frame_bytes: 1000,
        ..LinkSettings::default()
    };
    let [(left, _incoming), (_right, mut incoming)] = open(&settings).await;
    for body_bytes in 150..350 {
        let record = |offset| PulledRecord {
            offset,
            body: "x".repeat(body_bytes),
        };
        let serve = async {
            let (_, responder) = next_call(&mut incoming).await;
            responder.reply(Reply::PulledRecords(PulledRecords {
                records: (1..=10).map(record).collect(),
                first: 1,
                next: 11,
            }))
        };
        let (pulled, replied) = tokio::join!(
            left.pull_records(PullRecords::default(), LONG_TIMEOUT),
            serve
        );
        replied.unwrap();
        let pulled = pulled.unwrap();
        let count = pulled.records.len() as u64;
        assert!(count >= 2, "{count} records of {body_bytes} bytes");
        assert_eq!(pulled.records, (1..=count).map(record).collect::<Vec<_>>());
        assert_eq!((pulled.first, pulled.next), (1, 11));
    }
}

#[tokio::test]
async fn repeated_headers_arrive_unchanged() {
    let [(left, _left_incoming), (_right, mut right_incoming)] =
        open(&LinkSettings::default()).await;
    let headers = |number: usize| {
        let pairs = [
            ("host", "app.example".to_owned()),
            ("cookie", format!("id={number}")),
            ("accept", format!("kind-{}", number % 200)),
            ("x-long", "y".repeat(300)),
            ("empty", String::new()),
        ];
        let headers = pairs
            .into_iter()
            .map(|(name, value)| Header::new(name.to_owned(), Bytes::from(value)));
        headers.skip(number % 3).collect::<Vec<_>>()
    };
    for number in 0..600 {
        let mut sent = dispatch(&number.to_string());
        sent.headers = headers(number);
        let calling = left.dispatch(sent, LONG_TIMEOUT);
        let serving = async {
            let (call, responder) = next_call(&mut right_incoming).await;
            let Call::Dispatch(arrived) = call else {
                panic!("not a dispatch: {call:?}");
            };
            assert_eq!(arrived.headers, headers(number));
            let answer = Answer {
                headers: headers(number + 1),
                ..Answer::default()
            };
            responder.reply(Outcome::Answer(answer)).unwrap();
        };
        let (answered, ()) = tokio::join!(calling, serving);
        let Ok(Outcome::Answer(answer)) = answered else {
            panic!("no answer: {answered:?}");
        };
        assert_eq!(answer.headers, headers(number + 1));
    }
}

fn long_dispatch(request_id: &str) -> Dispatch {
    Dispatch {
        body: vec![7; LONG_BODY_BYTES].into(),
        ..dispatch(request_id)
    }
}

fn dispatched(call: Call) -> Box<Dispatch> {
    match call {
        Call::Dispatch(dispatch) => dispatch,
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn a_short_call_does_not_wait_for_a_long_one() {
    let [(link, _incoming), (_peer, mut incoming)] = open(&LinkSettings::default()).await;
    let receive = async {
        let (first, first_responder) = next_call(&mut incoming).await;
        let (second, second_responder) = next_call(&mut incoming).await;
        for responder in [first_responder, second_responder] {
            let answer = Answer {
                body: vec![9; LONG_BODY_BYTES].into(),
                ..Answer::default()
            };
            responder.reply(Reply::Answer(answer)).unwrap();
        }
        [dispatched(first), dispatched(second)]
    };
    let (long, short, received) = tokio::join!(
        link.dispatch(long_dispatch("long"), LONG_TIMEOUT),
        link.dispatch(dispatch("short"), LONG_TIMEOUT),
        receive
    );
    assert_eq!(received[0].request_id, "short");
    assert_eq!(received[1].request_id, "long");
    assert_eq!(received[1].body, vec![7; LONG_BODY_BYTES]);
    for outcome in [long, short] {
        let Ok(Outcome::Answer(answer)) = outcome else {
            panic!("{outcome:?}");
        };
        assert_eq!(answer.body, vec![9; LONG_BODY_BYTES]);
    }
}

#[tokio::test]
async fn a_long_call_that_is_dropped_while_it_is_written_does_not_run() {
    let [(link, _incoming), (_peer, mut incoming)] = open(&LinkSettings::default()).await;
    {
        let call = link.dispatch(long_dispatch("dropped"), LONG_TIMEOUT);
        tokio::pin!(call);
        for _ in 0..YIELDS {
            assert!(futures_util::poll!(&mut call).is_pending());
            tokio::task::yield_now().await;
        }
    }
    let sending = link.dispatch(long_dispatch("kept"), LONG_TIMEOUT);
    let receive = async {
        let (call, responder) = next_call(&mut incoming).await;
        responder.reply(Reply::Answer(Answer::default())).unwrap();
        dispatched(call)
    };
    let (outcome, received) = tokio::join!(sending, receive);
    outcome.unwrap();
    assert_eq!(received.request_id, "kept");
    assert_eq!(received.body, vec![7; LONG_BODY_BYTES]);
}
