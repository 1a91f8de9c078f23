//! Verdict of a decider on a version on trial.

use ids::Incarnation;
use ids::Offset;
use ids::ServiceId;
use ids::VmId;
use prost::Message;

/// Maximum length of the reason in a permit, in bytes. Longer ones are shortened, so that the datagram is accepted.
const MAX_REASON_BYTES: usize = 400;

/// Confirms a trial for a short time, or ends it.
#[derive(Clone, PartialEq, Message)]
pub struct RolloutPermit {
    /// Service of the roll-out.
    #[prost(string, tag = "1")]
    pub service: ServiceId,
    /// Position of the order among the declarations of operators.
    #[prost(uint64, tag = "2")]
    pub position: Offset,
    /// The decider.
    #[prost(string, tag = "3")]
    pub vm: VmId,
    /// Incarnation of the decider.
    #[prost(uint64, tag = "4")]
    pub incarnation: Incarnation,
    /// Sequence number, which increases with every permit of this incarnation.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
    /// The verdict.
    #[prost(enumeration = "RolloutVerdict", tag = "6")]
    pub verdict: i32,
    /// Reason of a rollback, empty otherwise.
    #[prost(string, tag = "7")]
    pub reason: String,
}

/// Verdict of a decider.
#[derive(Clone, Copy, Debug, Eq, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub enum RolloutVerdict {
    /// No verdict. The permit has no effect.
    Unspecified = 0,
    /// Homes of the target version may start requests.
    Continue = 1,
    /// The target version gets no more requests. This is final.
    RolledBack = 2,
}

impl RolloutPermit {
    /// Shortens a reason to what fits into a datagram.
    pub fn shorten_reason(reason: &str) -> String {
        let mut end = reason.len().min(MAX_REASON_BYTES);
        while !reason.is_char_boundary(end) {
            end -= 1;
        }
        reason[..end].to_owned()
    }
}
