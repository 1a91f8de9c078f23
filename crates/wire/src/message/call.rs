//! What one peer asks of another.

use prost::Oneof;

use crate::Dispatch;
use crate::Handover;
use crate::PullRecords;
use crate::PullSnapshot;
use crate::StatusQuery;
use crate::TakeTokens;

/// A question that is answered by one [`crate::Reply`].
#[derive(Clone, Oneof, PartialEq)]
pub enum Call {
    /// Asks what became of a request. The reply is a [`crate::RequestStatus`].
    #[prost(message, tag = "2")]
    StatusQuery(StatusQuery),
    /// Runs a request. The reply is an [`crate::Outcome`].
    #[prost(message, boxed, tag = "3")]
    Dispatch(Box<Dispatch>),
    /// Passes remembered requests. The reply is a [`crate::HandoverReply`].
    #[prost(message, tag = "4")]
    Handover(Handover),
    /// Asks for records. The reply is a [`crate::PulledRecords`].
    #[prost(message, tag = "5")]
    PullRecords(PullRecords),
    /// Asks for a part of a snapshot. The reply is a [`crate::SnapshotChunk`].
    #[prost(message, tag = "6")]
    PullSnapshot(PullSnapshot),
    /// Asks for tokens. The reply is a [`crate::TokensOutcome`].
    #[prost(message, tag = "7")]
    TakeTokens(TakeTokens),
}

impl Call {
    /// Returns the id of the request that the call runs, if it runs one.
    pub(crate) fn dispatched_request_id(&self) -> Option<&str> {
        match self {
            Self::Dispatch(dispatch) => Some(&dispatch.request_id),
            _ => None,
        }
    }
}
