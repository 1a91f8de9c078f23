//! Replies to calls.

use prost::Oneof;

use crate::Answer;
use crate::Barred;
use crate::HandoverReply;
use crate::NotOwner;
use crate::PulledRecords;
use crate::Refused;
use crate::Running;
use crate::SnapshotChunk;
use crate::Tokens;

/// The reply to a [`crate::Call`].
#[derive(Clone, Oneof, PartialEq)]
pub enum Reply {
    /// The upstream's answer.
    #[prost(message, tag = "3")]
    Answer(Answer),
    /// The request has not run and will never run.
    #[prost(message, tag = "4")]
    Barred(Barred),
    /// Whether a handover was accepted.
    #[prost(message, tag = "5")]
    HandoverReply(HandoverReply),
    /// The peer does not own the unit.
    #[prost(message, tag = "6")]
    NotOwner(NotOwner),
    /// Records of the log.
    #[prost(message, tag = "7")]
    PulledRecords(PulledRecords),
    /// The peer refused the call.
    #[prost(message, tag = "8")]
    Refused(Refused),
    /// The request is queued or running.
    #[prost(message, tag = "9")]
    Running(Running),
    /// A part of a snapshot.
    #[prost(message, tag = "10")]
    SnapshotChunk(SnapshotChunk),
    /// Tokens of a rate limit.
    #[prost(message, tag = "11")]
    Tokens(Tokens),
}
