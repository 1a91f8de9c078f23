//! What passes between the control threads of peers over links.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cluster::Body;
use cluster::Record;
use cluster::UnitFence;
use ids::Offset;
use ids::Unit;
use ids::VmId;
use membership::Event;
use tokio::runtime::Handle;
use wire::Call;
use wire::Handover;
use wire::PullRecords;
use wire::Reply;

use crate::control::ControlSender;
use crate::control::LogWriter;
use crate::home::Home;
use crate::limits::Buckets;
use crate::links::LinkPool;

/// Largest number of records of one pull.
const PULL_RECORDS: u32 = 500;

/// Time after which a call is taken as unanswered.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Passes remembered requests to the next owner of a unit, and gets records from peers.
#[derive(Clone)]
pub(crate) struct Transfer {
    pub(crate) buckets: Arc<Buckets>,
    pub(crate) control: ControlSender,
    pub(crate) home: Arc<Home>,
    pub(crate) links: Arc<LinkPool>,
    pub(crate) runtime: Handle,
    pub(crate) writer: LogWriter,
}

impl Transfer {
    /// Asks a peer for records.
    pub(crate) fn pull(&self, peer: VmId, address: SocketAddr, from: Offset) {
        let transfer = self.clone();
        self.runtime.spawn(async move {
            let call = Call::PullRecords(PullRecords {
                from,
                max: PULL_RECORDS,
            });
            let Some(Reply::PulledRecords(pulled)) = transfer.call(&peer, address, call).await
            else {
                return;
            };
            let records = pulled
                .records
                .into_iter()
                .map(|record| (record.offset, record.body));
            transfer.control.event(Event::PeerRecords {
                peer,
                records: records.collect(),
            });
        });
    }

    /// Passes what is remembered of the units of a move to the next owner, and then appends the move.
    ///
    /// The move is not appended when the next owner cannot take it. The agent asks for it again later.
    pub(crate) fn hand_over(&self, record: Record, address: SocketAddr) {
        let transfer = self.clone();
        self.runtime.spawn(async move {
            let Body::Move { to, units, .. } = &record.body else {
                return;
            };
            for unit in units {
                if !transfer.hand_over_unit(unit, to, address).await {
                    log::warn!(
                        "{} was not handed over to {to}: it is tried again",
                        unit.unit
                    );
                    return;
                }
            }
            transfer.writer.append(record);
        });
    }

    async fn hand_over_unit(&self, unit: &UnitFence, to: &VmId, address: SocketAddr) -> bool {
        let luggage = match unit.unit {
            Unit::Bucket { .. } => self.buckets.export(&unit.unit, unit.fence),
            Unit::Pinned { .. } | Unit::Shard { .. } => {
                let has_keys = self.home.shared.dialect.has_idempotency_keys;
                has_keys.then(|| self.home.export(&unit.unit, unit.fence))
            }
        };
        let Some(Ok(remembered)) = luggage.map(|luggage| serde_json::to_vec(&luggage)) else {
            return true;
        };
        let call = Call::Handover(Handover {
            unit: unit.unit.to_string(),
            fence: unit.fence,
            request_memory: Bytes::from(remembered),
        });
        let reply = self.call(to, address, call).await;
        matches!(reply, Some(Reply::HandoverReply(handed_over)) if handed_over.accepted)
    }

    async fn call(&self, peer: &VmId, address: SocketAddr, call: Call) -> Option<Reply> {
        let link = self.links.link(peer, address).await?;
        link.call(call, CALL_TIMEOUT).await.ok()
    }
}
