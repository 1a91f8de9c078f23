//! The answer of a witness to a heartbeat.

use ids::Incarnation;
use ids::Offset;
use ids::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::KnownDeclarations;

/// A witness's answer to a heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatAnswer {
    /// Whether the witness still has contact with the member. Once the witness suspects the member,
    /// this stays false for the member's incarnation.
    pub contact: bool,
    /// What the sender knows of the declarations of operators, `None` if nothing.
    #[serde(default)]
    pub declarations: Option<KnownDeclarations>,
    /// Incarnation of the member that the answer is for.
    pub incarnation: Incarnation,
    /// Offset of the next record that the witness will read.
    pub next: Offset,
    /// Whether the witness renews the member's lease.
    pub renewal: bool,
    /// Sequence number of the heartbeat.
    pub sequence: u64,
    /// The witness.
    pub witness: VmId,
    /// Incarnation of the witness.
    pub witness_incarnation: Incarnation,
}
