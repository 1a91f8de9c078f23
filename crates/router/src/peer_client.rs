//! Calls to peers on behalf of the control thread: record pulls and handovers of units.

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

/// Largest number of records requested in one pull.
const MAX_PULLED_RECORDS: u32 = 500;

/// Time after which a call without a reply fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Hands the state of units over to their next owner, and pulls records from peers.
#[derive(Clone)]
pub(crate) struct PeerClient {
    pub(crate) buckets: Arc<Buckets>,
    pub(crate) control: ControlSender,
    pub(crate) home: Arc<Home>,
    pub(crate) links: Arc<LinkPool>,
    pub(crate) runtime: Handle,
    pub(crate) writer: LogWriter,
}

impl PeerClient {
    /// Pulls records from a peer, starting at offset `from`, and passes them to the control thread.
    pub(crate) fn pull(&self, peer: VmId, address: SocketAddr, from: Offset) {
        let client = self.clone();
        self.runtime.spawn(async move {
            let call = Call::PullRecords(PullRecords {
                from,
                max: MAX_PULLED_RECORDS,
            });
            let Some(Reply::PulledRecords(pulled)) = client.call(&peer, address, call).await else {
                return;
            };
            let records = pulled
                .records
                .into_iter()
                .map(|record| (record.offset, record.body));
            client.control.send_event(Event::PeerRecords {
                next: pulled.next,
                peer,
                records: records.collect(),
            });
        });
    }

    /// Sends the state of the units of a move to their next owner, and then appends the move.
    ///
    /// The move is not appended if the next owner does not accept the state. The agent retries it later.
    pub(crate) fn hand_over(&self, record: Record, address: SocketAddr) {
        let client = self.clone();
        self.runtime.spawn(async move {
            let Body::Move { to, units, .. } = &record.body else {
                return;
            };
            for unit in units {
                if !client.hand_over_unit(unit, to, address).await {
                    log::warn!(
                        "failed to hand {} over to {to}: the move will be retried",
                        unit.unit
                    );
                    return;
                }
            }
            client.writer.append(record);
        });
    }

    async fn hand_over_unit(&self, unit: &UnitFence, to: &VmId, address: SocketAddr) -> bool {
        let state = match unit.unit {
            Unit::Bucket { .. } => self.buckets.export(&unit.unit, unit.fence),
            Unit::Pinned { .. } | Unit::Shard { .. } => {
                let has_keys = self.home.shared.dialect.has_idempotency_keys;
                has_keys.then(|| self.home.export(&unit.unit, unit.fence))
            }
        };
        let Some(Ok(encoded)) = state.map(|state| serde_json::to_vec(&state)) else {
            return true;
        };
        let call = Call::Handover(Handover {
            unit: unit.unit.to_string(),
            fence: unit.fence,
            request_memory: Bytes::from(encoded),
        });
        let reply = self.call(to, address, call).await;
        matches!(reply, Some(Reply::HandoverReply(reply)) if reply.accepted)
    }

    async fn call(&self, peer: &VmId, address: SocketAddr, call: Call) -> Option<Reply> {
        let link = self.links.link(peer, address).await?;
        link.call(call, CALL_TIMEOUT).await.ok()
    }
}
