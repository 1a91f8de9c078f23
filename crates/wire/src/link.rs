//! An open link to a peer.

use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use tokio::time::timeout;
use tokio_util::sync::DropGuard;

use crate::Call;
use crate::CallError;
use crate::Dispatch;
use crate::Handover;
use crate::HandoverReply;
use crate::Identity;
use crate::Notice;
use crate::Outcome;
use crate::PullRecords;
use crate::PullSnapshot;
use crate::PulledRecords;
use crate::Reply;
use crate::RequestStatus;
use crate::SnapshotChunk;
use crate::StatusQuery;
use crate::TakeTokens;
use crate::TokensOutcome;
use crate::call_guard::CallGuard;
use crate::link_state::LinkState;
use crate::packet::NoticePacket;
use crate::packet::PacketBody;
use crate::packet::RequestPacket;
use crate::pending_calls::no_reply_error;

/// Handle to a link. The link closes once all its handles and its [`crate::IncomingMessages`] are
/// dropped.
#[derive(Clone, Debug)]
pub struct Link {
    _guard: Arc<DropGuard>,
    state: Arc<LinkState>,
}

impl Link {
    pub(crate) fn new(state: Arc<LinkState>, guard: Arc<DropGuard>) -> Self {
        Self {
            _guard: guard,
            state,
        }
    }

    /// Returns the identity of the peer.
    pub fn peer(&self) -> &Identity {
        &self.state.peer
    }

    /// Reports whether the link is closed.
    pub fn is_closed(&self) -> bool {
        self.state.closed.is_cancelled()
    }

    /// Reports whether a call has waited for `time` without any frame from the peer. A peer that runs
    /// and is reachable answers pings during that time.
    pub fn is_silent_for(&self, time: Duration) -> bool {
        let Some(since) = self.state.pending_calls().waiting_since() else {
            return false;
        };
        since.max(self.state.last_received.time()).elapsed() >= time
    }

    /// Waits until the link is closed.
    pub async fn closed(&self) {
        self.state.closed.cancelled().await;
    }

    /// Closes the link after the queued packets are sent.
    pub fn close(&self) {
        self.state.closed.cancel();
    }

    /// Calls the peer and waits for its reply for at most `time_limit`. The peer is notified when the
    /// call times out or its future is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the call certainly did not run or may have run.
    pub async fn call(&self, call: Call, time_limit: Duration) -> Result<Reply, CallError> {
        if self.state.is_queue_full() {
            return Err(CallError::NotSent);
        }
        let request_id = call.dispatched_request_id().map(str::to_owned);
        let mut packet = RequestPacket {
            id: u64::MAX,
            call: Some(call),
        };
        self.check_length(packet.encoded_len())?;
        let (id, rx) = self.state.pending_calls().add().ok_or(CallError::NotSent)?;
        packet.id = id;
        self.state.enqueue(PacketBody::Request(packet));
        let guard = CallGuard::new(self.state.clone(), id, request_id);
        match timeout(time_limit, rx).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(CallError::Unknown),
            Err(_) => Err(no_reply_error(guard.abandon())),
        }
    }

    /// Sends a notice, which has no reply and is lost if the link closes first.
    ///
    /// # Errors
    ///
    /// Returns the reason that the notice was not queued.
    pub fn notify(&self, notice: Notice) -> Result<(), CallError> {
        if self.is_closed() || self.state.is_queue_full() {
            return Err(CallError::NotSent);
        }
        let packet = NoticePacket {
            notice: Some(notice),
        };
        self.check_length(packet.encoded_len())?;
        self.state.enqueue(PacketBody::Notice(packet));
        Ok(())
    }

    /// Sends a request for the peer to run, and waits for its outcome.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the request certainly did not run or may have run.
    pub async fn dispatch(
        &self,
        dispatch: Dispatch,
        time_limit: Duration,
    ) -> Result<Outcome, CallError> {
        let call = Call::Dispatch(Box::new(dispatch));
        convert_reply(self.call(call, time_limit).await?)
    }

    /// Queries the status of a request.
    ///
    /// # Errors
    ///
    /// Returns the reason that there is no valid reply.
    pub async fn query_status(
        &self,
        query: StatusQuery,
        time_limit: Duration,
    ) -> Result<RequestStatus, CallError> {
        convert_reply(self.call(Call::StatusQuery(query), time_limit).await?)
    }

    /// Takes tokens from a rate-limit bucket.
    ///
    /// # Errors
    ///
    /// Returns the reason that there is no valid reply.
    pub async fn take_tokens(
        &self,
        request: TakeTokens,
        time_limit: Duration,
    ) -> Result<TokensOutcome, CallError> {
        convert_reply(self.call(Call::TakeTokens(request), time_limit).await?)
    }

    /// Sends the remembered requests of a unit to its next owner.
    ///
    /// # Errors
    ///
    /// Returns the reason that there is no valid reply.
    pub async fn hand_over(
        &self,
        handover: Handover,
        time_limit: Duration,
    ) -> Result<HandoverReply, CallError> {
        match self.call(Call::Handover(handover), time_limit).await? {
            Reply::HandoverReply(reply) => Ok(reply),
            _ => Err(CallError::Unknown),
        }
    }

    /// Requests records of the log.
    ///
    /// # Errors
    ///
    /// Returns the reason that there is no valid reply.
    pub async fn pull_records(
        &self,
        request: PullRecords,
        time_limit: Duration,
    ) -> Result<PulledRecords, CallError> {
        match self.call(Call::PullRecords(request), time_limit).await? {
            Reply::PulledRecords(records) => Ok(records),
            _ => Err(CallError::Unknown),
        }
    }

    /// Requests one part of a snapshot.
    ///
    /// # Errors
    ///
    /// Returns the reason that there is no valid reply.
    pub async fn pull_snapshot(
        &self,
        request: PullSnapshot,
        time_limit: Duration,
    ) -> Result<SnapshotChunk, CallError> {
        match self.call(Call::PullSnapshot(request), time_limit).await? {
            Reply::SnapshotChunk(chunk) => Ok(chunk),
            _ => Err(CallError::Unknown),
        }
    }

    fn check_length(&self, actual_bytes: usize) -> Result<(), CallError> {
        let limit_bytes = self.state.max_message_bytes();
        if actual_bytes > limit_bytes {
            return Err(CallError::TooLarge {
                actual_bytes,
                limit_bytes,
            });
        }
        Ok(())
    }
}

fn convert_reply<T: TryFrom<Reply>>(reply: Reply) -> Result<T, CallError> {
    T::try_from(reply).map_err(|_| CallError::Unknown)
}
