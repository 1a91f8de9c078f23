//! The message that grants units to the local upstream.

use cluster::UnitFence;
use ids::Unit;
use serde::Deserialize;
use serde::Serialize;

/// A change to the units that the local upstream may run requests on, with an expiry in the
/// upstream's own clock.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Whether `granted` replaces all grants of the holder.
    pub all: bool,
    /// Expiry of all grants of the holder, in milliseconds of the upstream's monotonic clock.
    pub expiry_ms: u64,
    /// Units that are granted.
    pub granted: Vec<UnitFence>,
    /// Name of the holder, `vm@incarnation` of the member.
    pub holder: String,
    /// Instance identifier of the upstream that the grant is for.
    pub instance: String,
    /// Units that are revoked.
    pub revoked: Vec<Unit>,
    /// Sequence number of the message, which increases with each message of a holder.
    pub sequence: u64,
}
