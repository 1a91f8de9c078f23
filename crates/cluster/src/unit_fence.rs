//! A unit and the fence of its ownership.

use ids::Fence;
use ids::Unit;
use serde::Deserialize;
use serde::Serialize;

/// A unit with the fence under which its owner holds it.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UnitFence {
    /// Offset of the record that decided the owner.
    pub fence: Fence,
    /// The unit.
    pub unit: Unit,
}
