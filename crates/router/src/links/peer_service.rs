//! Service for the calls and notices of peers.

use std::sync::Arc;

use ids::Unit;
use wire::Ask;
use wire::Call;
use wire::Dispatch;
use wire::HandOver;
use wire::HandedOver;
use wire::Incoming;
use wire::IncomingCalls;
use wire::Notice;
use wire::Pull;
use wire::Pulled;
use wire::PulledRecord;
use wire::Refused;
use wire::Reply;
use wire::Responder;

use crate::handover::IncomingHandovers;
use crate::home::Home;
use crate::limits::Buckets;
use crate::shared::Shared;

/// Largest number of records in one reply to a pull.
const MAX_PULLED_RECORDS: u32 = 500;

/// Handles the calls and notices of peers.
pub(crate) struct PeerService {
    pub(crate) handovers: Arc<IncomingHandovers>,
    pub(crate) buckets: Arc<Buckets>,
    pub(crate) home: Arc<Home>,
    pub(crate) shared: Arc<Shared>,
}

impl PeerService {
    /// Serves one link until it closes.
    pub(crate) async fn serve(self: Arc<Self>, mut calls: IncomingCalls) {
        while let Some(incoming) = calls.recv().await {
            match incoming {
                Incoming::Call { call, responder } => self.handle_call(call, responder),
                Incoming::Notice(notice) => self.handle_notice(notice),
            }
        }
    }

    fn handle_call(self: &Arc<Self>, call: Call, responder: Responder) {
        let reply = match call {
            Call::Ask(ask) => self.query_request(&ask),
            Call::Dispatch(dispatch) => {
                tokio::spawn(Arc::clone(self).dispatch(*dispatch, responder));
                return;
            }
            Call::HandOver(hand_over) => self.accept_handover(&hand_over),
            Call::Pull(pull) => self.pull(pull),
            Call::PullSnapshot(_) => Reply::Refused(Refused {
                reason: "not-supported".to_owned(),
                not_run: true,
                retry_after_ms: 0,
            }),
            Call::TakeTokens(take) => self.buckets.take(&take).into(),
        };
        if let Err(error) = responder.reply(reply) {
            log::debug!("reply not sent: {error}");
        }
    }

    async fn dispatch(self: Arc<Self>, dispatch: Dispatch, responder: Responder) {
        let outcome = tokio::select! {
            outcome = self.home.run(dispatch) => outcome,
            () = responder.cancelled() => return,
        };
        if let Err(error) = responder.reply(outcome) {
            log::debug!("answer not sent: {error}");
        }
    }

    fn query_request(&self, ask: &Ask) -> Reply {
        self.home.query_request(ask).into()
    }

    fn handle_notice(&self, notice: Notice) {
        match notice {
            Notice::Acknowledge(acknowledge) => self.home.acknowledge(&acknowledge.request_ids),
            Notice::Cancel(cancel) => self.home.cancel(&cancel.request_id),
            Notice::LoadReport(_) => {}
        }
    }

    fn accept_handover(&self, hand_over: &HandOver) -> Reply {
        let accepted = hand_over
            .unit
            .parse::<Unit>()
            .is_ok_and(|unit| self.handovers.insert(unit, &hand_over.remembered));
        Reply::HandedOver(HandedOver { accepted })
    }

    fn pull(&self, pull: Pull) -> Reply {
        let view = self.shared.view();
        // A process that learns of the log only from peers serves no records, so that peers don't take them for records
        // that were just read from the log.
        let max = if view.first_hand {
            pull.max.min(MAX_PULLED_RECORDS) as usize
        } else {
            0
        };
        let records = self.shared.records.read(pull.from, max);
        Reply::Pulled(Pulled {
            records: records
                .into_iter()
                .map(|(offset, body)| PulledRecord { offset, body })
                .collect(),
            first: self.shared.records.first_offset().unwrap_or_default(),
            next: view.fleet.next_offset(),
        })
    }
}
