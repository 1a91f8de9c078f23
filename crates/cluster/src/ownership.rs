//! Who owns a unit.

use ids::Fence;
use ids::Incarnation;
use ids::VmId;
use serde::Deserialize;
use serde::Serialize;

/// Owner of a unit, and the fence that orders it after all earlier owners.
///
/// # Waits
///
/// The owner serves the unit only once `wait_ms` have passed on its own clock since it read the
/// record at offset `fence`, or since it read a snapshot that covers that record. Reading comes
/// after the append, so a wait that is long enough counted from the append is long enough counted
/// from the reading.
///
/// A wait is never lost when a unit is handed on early. If the owner is lost, leaves or is
/// replaced, the next owner waits the longer of this wait and the wait for the lease of this
/// owner. Both are counted from a record at or behind the one that they were stated for, so each
/// is long enough. The same holds for a unit that has no owner for some time. Only a `Move` ends
/// a wait, because an owner moves only units whose wait is over.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ownership {
    /// Offset of the record that decided the owner.
    pub fence: Fence,
    /// What the upstream of the last owner gave on for the next one, empty for a unit that came otherwise.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub handover: String,
    /// Life of the owner.
    pub incarnation: Incarnation,
    /// The owner.
    pub vm: VmId,
    /// Time that the owner waits before it serves, in milliseconds.
    pub wait_ms: u64,
}
