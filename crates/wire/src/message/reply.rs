//! What a peer answers.

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

/// The answer to a [`crate::Call`].
#[derive(Clone, Oneof, PartialEq)]
pub enum Reply {
    /// The upstream's answer.
    #[prost(message, tag = "3")]
    Answer(Answer),
    /// The request never runs.
    #[prost(message, tag = "4")]
    Barred(Barred),
    /// Remembered requests were taken, or not.
    #[prost(message, tag = "5")]
    HandoverReply(HandoverReply),
    /// The peer does not own the unit.
    #[prost(message, tag = "6")]
    NotOwner(NotOwner),
    /// Records of the log.
    #[prost(message, tag = "7")]
    PulledRecords(PulledRecords),
    /// The peer refuses.
    #[prost(message, tag = "8")]
    Refused(Refused),
    /// The request waits or runs.
    #[prost(message, tag = "9")]
    Running(Running),
    /// A part of a snapshot.
    #[prost(message, tag = "10")]
    SnapshotChunk(SnapshotChunk),
    /// Tokens of a rate limit.
    #[prost(message, tag = "11")]
    Tokens(Tokens),
}
