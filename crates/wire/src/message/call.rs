//! Calls between peers.

use prost::Oneof;

use crate::Dispatch;
use crate::Handover;
use crate::PullRecords;
use crate::PullSnapshot;
use crate::StatusQuery;
use crate::TakeTokens;

/// A call, which is answered by one [`crate::Reply`].
#[derive(Clone, Oneof, PartialEq)]
pub enum Call {
    /// Queries the status of a request. The reply is a [`crate::RequestStatus`].
    #[prost(message, tag = "2")]
    StatusQuery(StatusQuery),
    /// Runs a request. The reply is an [`crate::Outcome`].
    #[prost(message, boxed, tag = "3")]
    Dispatch(Box<Dispatch>),
    /// Transfers the remembered requests of a unit. The reply is a [`crate::HandoverReply`].
    #[prost(message, tag = "4")]
    Handover(Handover),
    /// Requests records of the log. The reply is a [`crate::PulledRecords`].
    #[prost(message, tag = "5")]
    PullRecords(PullRecords),
    /// Requests one part of a snapshot. The reply is a [`crate::SnapshotChunk`].
    #[prost(message, tag = "6")]
    PullSnapshot(PullSnapshot),
    /// Requests tokens of a rate limit. The reply is a [`crate::TokensOutcome`].
    #[prost(message, tag = "7")]
    TakeTokens(TakeTokens),
}

impl Call {
    /// Returns the id of the request if the call dispatches one.
    pub(crate) fn dispatched_request_id(&self) -> Option<&str> {
        match self {
            Self::Dispatch(dispatch) => Some(&dispatch.request_id),
            _ => None,
        }
    }
}
