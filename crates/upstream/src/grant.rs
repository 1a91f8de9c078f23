//! The right to run the requests of a unit.

use ids::Fence;
use ids::Unit;
use serde::Deserialize;
use serde::Serialize;

/// A unit with the fence under which an upstream may run its requests.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Grant {
    /// Number that determines the order of the unit's grants.
    pub fence: Fence,
    /// The unit.
    pub unit: Unit,
}
