//! A change of an upstream's grants.

use ids::Unit;
use serde::Deserialize;
use serde::Serialize;

use crate::Grant;

/// A change of the grants of one holder.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantMessage {
    /// Whether `granted` replaces all grants of the holder.
    pub all: bool,
    /// Expiry of all grants of the holder on the upstream's monotonic clock, in milliseconds.
    pub expiry_ms: u64,
    /// Grants to add.
    pub granted: Vec<Grant>,
    /// The home and its incarnation.
    pub holder: String,
    /// Instance of the upstream that the expiry was computed for. Another instance ignores the message.
    pub instance: String,
    /// Units whose grants to remove.
    pub revoked: Vec<Unit>,
    /// Sequence number of the message, higher than that of any earlier message of the holder.
    pub sequence: u64,
}
