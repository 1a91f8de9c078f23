//! Calls whose callers no longer wait.

use wire::Cancel;
use wire::IncomingMessage;
use wire::LinkSettings;
use wire::Notice;

use crate::link::next_call;
use crate::link_pair::LONG_TIMEOUT;
use crate::link_pair::dispatch;
use crate::link_pair::open;

#[tokio::test]
async fn dropped_dispatch_is_cancelled_at_the_peer() {
    let [(left, _incoming), (_right, mut incoming)] = open(&LinkSettings::default()).await;
    let responder = tokio::select! {
        outcome = left.dispatch(dispatch("id-1"), LONG_TIMEOUT) => panic!("{outcome:?}"),
        (_, responder) = next_call(&mut incoming) => responder,
    };
    responder.cancelled().await;
    let notice = incoming.recv().await;
    let expected = Notice::Cancel(Cancel {
        request_id: "id-1".to_owned(),
    });
    assert!(matches!(notice, Some(IncomingMessage::Notice(notice)) if notice == expected));
}

// GONE: a request whose caller had left while its call waited to be handled was started all the same.
#[tokio::test]
async fn a_call_that_was_abandoned_before_it_is_handled_does_not_begin() {
    let [(link, _incoming), (_right, mut incoming)] = open(&LinkSettings::default()).await;
    for _ in 0..32 {
        let calling = link.dispatch(dispatch("abandoned"), LONG_TIMEOUT);
        let mut calling = Box::pin(calling);
        let (_, responder) = tokio::select! {
            outcome = &mut calling => panic!("{outcome:?}"),
            call = next_call(&mut incoming) => call,
        };
        drop(calling);
        responder.cancelled().await;
        let mut has_begun = false;
        let outcome = responder
            .run_until_cancelled(async { has_begun = true })
            .await;
        assert_eq!((outcome, has_begun), (None, false));
        assert!(matches!(
            incoming.recv().await,
            Some(IncomingMessage::Notice(Notice::Cancel(_)))
        ));
    }
}
