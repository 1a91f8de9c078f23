//! The member that a unit moves to.

use ids::Incarnation;
use ids::VmId;

/// The member that a unit moves to.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Destination {
    /// Incarnation of the member.
    pub(crate) incarnation: Incarnation,
    /// The member.
    pub(crate) vm: VmId,
}
