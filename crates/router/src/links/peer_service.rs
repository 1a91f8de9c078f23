//! Service for the calls and notices of peers.

use std::sync::Arc;

use ids::Unit;
use policy::Reason;
use wire::Call;
use wire::Dispatch;
use wire::Handover;
use wire::HandoverReply;
use wire::IncomingMessage;
use wire::IncomingMessages;
use wire::Notice;
use wire::PullRecords;
use wire::PulledRecord;
use wire::PulledRecords;
use wire::Refused;
use wire::Reply;
use wire::Responder;
use wire::StatusQuery;

use crate::handover::IncomingHandovers;
use crate::home::Home;
use crate::limits::Buckets;
use crate::links::CancellableCalls;
use crate::request_cost::encode_work;
use crate::shared::Shared;

/// Largest number of records in one reply to a pull.
const MAX_PULLED_RECORDS: u32 = 500;

/// Handles the calls and notices of peers.
pub(crate) struct PeerService {
    pub(crate) handovers: Arc<IncomingHandovers>,
    pub(crate) buckets: Arc<Buckets>,
    pub(crate) calls: Arc<CancellableCalls>,
    pub(crate) home: Arc<Home>,
    pub(crate) shared: Arc<Shared>,
}

impl PeerService {
    /// Serves one link until it closes.
    pub(crate) async fn serve(self: Arc<Self>, mut calls: IncomingMessages) {
        while let Some(incoming) = calls.recv().await {
            match incoming {
                IncomingMessage::Call { call, responder } => self.handle_call(call, responder),
                IncomingMessage::Notice(notice) => self.handle_notice(notice),
            }
        }
    }

    fn handle_call(self: &Arc<Self>, call: Call, responder: Responder) {
        let reply = match call {
            Call::StatusQuery(query) => self.query_request(&query),
            Call::Dispatch(dispatch) => {
                tokio::spawn(Arc::clone(self).dispatch(*dispatch, responder));
                return;
            }
            Call::Handover(handover) => self.accept_handover(&handover),
            Call::PullRecords(pull) => self.pull(pull),
            Call::PullSnapshot(_) => Reply::Refused(Refused {
                reason: "not-supported".to_owned(),
                not_run: true,
                retry_after_ms: 0,
                load: None,
            }),
            Call::TakeTokens(take) => self.buckets.grant_tokens(&take).into(),
        };
        if let Err(error) = responder.reply(reply) {
            log::debug!("reply not sent: {error}");
        }
    }

    async fn dispatch(self: Arc<Self>, dispatch: Dispatch, responder: Responder) {
        let call = self.calls.register(&dispatch.request_id);
        let kind = self.home.cost_key_of(&dispatch);
        let run = responder.run_until_cancelled(self.home.run(dispatch));
        let outcome = tokio::select! {
            biased;
            () = call.cancelled() => return,
            outcome = run => outcome,
        };
        let Some(mut outcome) = outcome else {
            return;
        };
        let work = kind.and_then(|kind| self.home.work(&kind));
        outcome.set_load(work.as_ref().map(encode_work));
        if let Err(error) = responder.reply(outcome) {
            log::debug!("answer not sent: {error}");
        }
    }

    fn query_request(&self, query: &StatusQuery) -> Reply {
        self.home.query_request(query).into()
    }

    fn handle_notice(&self, notice: Notice) {
        match notice {
            Notice::Acknowledge(acknowledge) => self.home.acknowledge(&acknowledge.request_ids),
            Notice::Cancel(cancel) => {
                self.calls.cancel(&cancel.request_id);
                self.home.cancel(&cancel.request_id);
            }
            Notice::LoadReport(_) => {}
        }
    }

    fn accept_handover(&self, handover: &Handover) -> Reply {
        let accepted = handover
            .unit
            .parse::<Unit>()
            .is_ok_and(|unit| self.handovers.insert(unit, &handover.request_memory));
        Reply::HandoverReply(HandoverReply { accepted })
    }

    fn pull(&self, pull: PullRecords) -> Reply {
        let view = self.shared.view();
        // A peer takes a reply as proof that it knows what is in force if it has read as far as this process. That holds only
        // while this process has knowledge that does not come from peers alone.
        if !view.can_answer_pulls {
            return Reply::Refused(Refused {
                reason: Reason::Uninformed.as_str().to_owned(),
                not_run: true,
                retry_after_ms: 0,
                load: None,
            });
        }
        let max = pull.max.min(MAX_PULLED_RECORDS) as usize;
        let records = self.shared.records.read(pull.from, max);
        Reply::PulledRecords(PulledRecords {
            records: records
                .into_iter()
                .map(|(offset, body)| PulledRecord { offset, body })
                .collect(),
            first: self.shared.records.first_offset().unwrap_or_default(),
            next: view.fleet.next_offset(),
        })
    }
}
