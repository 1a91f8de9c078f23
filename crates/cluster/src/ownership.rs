//! Owner of a unit.

use ids::Fence;
use ids::Incarnation;
use ids::VmId;
use serde::Deserialize;
use serde::Serialize;

/// Owner of a unit, with the fence that orders it after all earlier owners.
///
/// # Waits
///
/// The owner serves the unit only once `wait_ms` have passed on its own clock since it read the record at offset
/// `fence`, or since it read a snapshot that covers that record. A process reads a record after its append, so a wait
/// that is long enough from the append is also long enough from the read.
///
/// A wait is kept if the unit changes its owner before the wait is over. If the owner is lost, leaves or is replaced,
/// the next owner waits for the longer of this wait and the wait for the lease of this owner. Both then start at the
/// record that they were computed for or at a later one, so each is long enough. The same holds for a unit that has no
/// owner for some time. Only a `Move` clears a wait, because an owner moves only units whose wait is over.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ownership {
    /// Offset of the record that assigned the unit to the owner under this fence.
    pub fence: Fence,
    /// State that the upstream of the previous owner handed over, or empty if the unit was not moved with a handover.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub handover: String,
    /// Incarnation of the owner.
    pub incarnation: Incarnation,
    /// The owner.
    pub vm: VmId,
    /// Time that the owner waits before it serves the unit, in milliseconds.
    pub wait_ms: u64,
}
