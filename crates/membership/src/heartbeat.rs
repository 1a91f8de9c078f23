//! The heartbeat that a member sends to its witnesses.

use ids::Incarnation;
use ids::Offset;
use ids::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::KnownDeclarations;

/// A member's heartbeat to one of its witnesses, which requests a renewal of the member's lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// What the sender knows of the declarations of operators, `None` if nothing.
    #[serde(default)]
    pub declarations: Option<KnownDeclarations>,
    /// The member.
    pub from: VmId,
    /// Incarnation of the member.
    pub incarnation: Incarnation,
    /// Offset of the next record that the member will read.
    pub next: Offset,
    /// Sequence number of the message, unique within the lifetime of the process.
    pub sequence: u64,
}
